"""Settings of a router: JSON with comments, validated completely before use."""

import copy
import os
import re
from typing import Annotated, Literal, NamedTuple, NotRequired, TypedDict

import json5
import jsonschema
import msgspec

from .exceptions import SettingsError

Address = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:\d{1,5}$")]
Url = Annotated[str, msgspec.Meta(pattern=r"^https?://[^\s]+$")]
Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]
Size = Annotated[int, msgspec.Meta(ge=1, le=1 << 34)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class CallersSettings(TypedDict, total=False):
    """The port for callers and its limits. Sizes are in bytes, times in seconds."""

    address: Address
    threads: Count
    max_body: Size
    max_header: Size
    header_timeout: Seconds
    default_deadline: Seconds
    max_waiting: Count
    max_waiting_body: Size
    certificate: str
    key: str


class AdminSettings(TypedDict, total=False):
    """The port for operators, metrics and health.

    ``operator_key_sha256`` is the hash of the first administrator's key; it
    may also come from ``VALEWEIR_OPERATOR_KEY_SHA256``.
    """

    address: Address
    operator_key_sha256: str
    certificate: str
    key: str


class Seed(TypedDict):
    """A router to contact before the membership list has been read."""

    host: Name
    domain: Name
    address: Address


class FleetSettings(TypedDict, total=False):
    """Traffic between routers. Times are in seconds, rates in bytes per second.

    ``public_key`` and ``secret_key`` are CURVE keys (Z85); the fleet's
    ``allowed_keys`` are the public keys of routers that may connect.
    """

    address: Address
    seeds: list[Seed]
    interval: Seconds
    lease: Seconds
    byte_budget: Size
    mesh_limit: Count
    public_key: str
    secret_key: str
    allowed_keys: list[str]


class PlatformSettings(TypedDict, total=False):
    """The URLs of the platform's services; times are in seconds."""

    log: Url
    membership: Url
    poll: Seconds
    timeout: Seconds


class SharingSettings(TypedDict, total=False):
    """Sharing of capacity; ``slack`` and ``class_bonus`` are in mean requests."""

    mode: Literal["leases", "static"]
    slack: Annotated[float, msgspec.Meta(ge=0)]
    class_bonus: Annotated[float, msgspec.Meta(ge=0)]
    aging: Seconds
    clamp: Annotated[float, msgspec.Meta(gt=0)]
    prompt_weight: Annotated[float, msgspec.Meta(ge=0)]
    output_weight: Annotated[float, msgspec.Meta(ge=0)]
    float_slots: Annotated[int, msgspec.Meta(ge=0)]


class StopSettings(TypedDict, total=False):
    """A planned stop: wait for the load balancer, then for requests in flight."""

    balancer_wait: Annotated[float, msgspec.Meta(ge=0)]
    limit: Seconds


class LogSettings(TypedDict, total=False):
    """Format and level of the log."""

    form: Literal["json", "text"]
    level: Literal["DEBUG", "INFO", "WARNING", "ERROR"]


class Settings(TypedDict):
    """The settings file of a router."""

    host: Name
    domain: Name
    callers: CallersSettings
    admin: AdminSettings
    fleet: FleetSettings
    platform: PlatformSettings
    sharing: NotRequired[SharingSettings]
    stop: NotRequired[StopSettings]
    log: NotRequired[LogSettings]


class Fault(NamedTuple):
    """An error in a settings file; ``line`` is 0 if unknown."""

    path: str
    line: int
    text: str

    def __str__(self):
        """Return the fault as ``line N, PATH: TEXT``."""
        place = f"line {self.line}, " if self.line else ""
        return f"{place}{self.path}: {self.text}"


DEFAULTS = {
    "callers": {
        "threads": 2100,
        "max_body": 8 << 20,
        "max_header": 32 << 10,
        "header_timeout": 10.0,
        "default_deadline": 600.0,
        "max_waiting": 2000,
        "max_waiting_body": 64 << 20,
    },
    "admin": {},
    "fleet": {
        "seeds": [],
        "interval": 0.5,
        "lease": 4.0,
        "byte_budget": 5000,
        "mesh_limit": 16,
    },
    "platform": {"poll": 1.0, "timeout": 3.0},
    "sharing": {
        "mode": "leases",
        "slack": 4.0,
        "class_bonus": 2.0,
        "aging": 20.0,
        "clamp": 40.0,
        "prompt_weight": 0.25,
        "output_weight": 1.0,
        "float_slots": 1,
    },
    "stop": {"balancer_wait": 2.0, "limit": 120.0},
    "log": {"form": "json", "level": "INFO"},
}

_REQUIRED = {
    "callers": ["address"],
    "admin": ["address"],
    "fleet": ["address"],
    "platform": ["log", "membership"],
}

_SECRETS = {
    "VALEWEIR_OPERATOR_KEY_SHA256": ("admin", "operator_key_sha256"),
    "VALEWEIR_FLEET_SECRET_KEY": ("fleet", "secret_key"),
}


def load_settings(path, environ=os.environ):
    """Read and validate a settings file; fill in defaults and secrets.

    Raises
    ------
    SettingsError
        With every fault, each with its path and line.
    """
    text = _read(path)
    try:
        data = json5.loads(text)
    except ValueError as exc:
        raise SettingsError(path, [_get_syntax_fault(exc)]) from exc
    faults = get_faults(data, text)
    if faults:
        raise SettingsError(path, faults)
    return prepare_settings(data, environ)


def get_faults(data, text=""):
    """Return every `Fault` of decoded settings ``data``."""
    checker = jsonschema.Draft202012Validator(get_schema())
    errors = sorted(checker.iter_errors(data), key=lambda e: list(map(str, e.path)))
    faults = [_get_fault(error, text) for error in errors]
    if not faults:
        faults = _get_cross_field_faults(data, text)
    return faults


def prepare_settings(data, environ=os.environ):
    """Return valid ``data`` with defaults and the environment's secrets."""
    cfg = copy.deepcopy(DEFAULTS)
    for name, value in data.items():
        if isinstance(value, dict):
            cfg[name].update(value)
        else:
            cfg[name] = value
    for variable, (section, key) in _SECRETS.items():
        if variable in environ:
            cfg[section][key] = environ[variable]
    return cfg


def get_schema():
    """Return the JSON schema of a settings file; it rejects unknown keys."""
    schema = msgspec.json.schema(Settings)
    for name, definition in schema["$defs"].items():
        if definition.get("type") != "object":
            continue
        definition["additionalProperties"] = False
        section = name.removesuffix("Settings").lower()
        if section in _REQUIRED:
            definition["required"] = _REQUIRED[section]
    return schema


def _read(path):
    try:
        with open(path, encoding="utf-8") as file:
            return file.read()
    except (OSError, UnicodeDecodeError) as exc:
        raise SettingsError(path, [Fault("$", 0, str(exc))]) from exc


def _get_syntax_fault(exc):
    found = re.search(r":(\d+)", str(exc))
    return Fault("$", int(found.group(1)) if found else 0, str(exc))


def _get_fault(error, text):
    path = list(error.path)
    unexpected = re.search(r"'([^']+)' (?:was|were) unexpected", error.message)
    if unexpected:
        path.append(unexpected.group(1))
    json_path = "$" + "".join(f"[{p}]" if isinstance(p, int) else f".{p}" for p in path)
    return Fault(json_path, _find_line(path, text), error.message)


def _find_line(path, text):
    """Find the line of a key by a search for each name of its path in order."""
    position = 0
    found = False
    for part in path:
        if isinstance(part, int):
            continue
        match = re.compile(rf"[\"']?\b{re.escape(part)}\b[\"']?\s*:").search(
            text, position
        )
        if match:
            position = match.start()
            found = True
    return text.count("\n", 0, position) + 1 if found else 0


def _get_cross_field_faults(data, text):
    faults = []
    fleet = {**DEFAULTS["fleet"], **data["fleet"]}
    if fleet["lease"] < 6 * fleet["interval"]:
        path = ["fleet", "lease"]
        message = "lease must be at least six times the interval"
        faults.append(Fault("$.fleet.lease", _find_line(path, text), message))
    for section in ("callers", "admin"):
        part = data[section]
        if ("certificate" in part) != ("key" in part):
            message = "certificate and key must be set together"
            faults.append(Fault(f"$.{section}", _find_line([section], text), message))
    return faults
