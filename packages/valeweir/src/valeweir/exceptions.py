"""The exceptions of valeweir.

Expected outcomes are return values, not exceptions. These exceptions are raised only
if the process cannot continue, or if a caller of the tools made a mistake.
"""


class ValeweirError(Exception):
    """Base class of every error that valeweir raises."""


class SettingsError(ValeweirError):
    """The settings file is unreadable or invalid; ``faults`` lists every reason."""

    def __init__(self, path, faults):
        super().__init__(f"{path}: the settings have {len(faults)} fault(s)")
        self.path = path
        self.faults = faults


class InvariantError(ValeweirError):
    """An invariant does not hold; the process must stop."""


class PlatformUnavailable(ValeweirError):
    """A platform service returned no usable response."""


class AppendOutcomeUnknown(PlatformUnavailable):
    """It is unknown whether an append to the log took effect."""
