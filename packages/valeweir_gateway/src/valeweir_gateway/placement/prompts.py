"""Description of a prompt in a model request: token counts and shared parts."""

from typing import NamedTuple


class Part(NamedTuple):
    """A part of a prompt. An engine that has cached it need not read it again."""

    id: str
    tokens: int


class Prompt(NamedTuple):
    """A prompt as the client describes it. The last part is not shared."""

    tokens: int
    max_output: int
    parts: tuple[Part, ...]

    @property
    def home(self):
        """Return the id of the last shared part, or "" if there is none.

        It is the key of rendezvous hashing that selects the home instance.
        """
        return self.parts[-2].id if len(self.parts) > 1 else ""

    @property
    def own_id(self):
        """Return the id of the part that is not shared, or "" if there is none."""
        return self.parts[-1].id if self.parts else ""

    @property
    def shared(self):
        """Return the parts that other requests may share, in order."""
        return self.parts[:-1]

    @property
    def own(self):
        """Return the number of tokens that no other request shares."""
        return self.parts[-1].tokens if self.parts else self.tokens

    @property
    def cost(self):
        """Return the tokens charged to the account; output tokens count twice."""
        return self.tokens + 2 * self.max_output


def parse_prompt(counts, parts):
    """Return the `Prompt` from two header values, or None if missing or malformed.

    Parameters
    ----------
    counts : str or None
        ``PROMPT,OUTPUT`` token counts.
    parts : str or None
        ``ID:TOKENS`` separated by commas, in order.
    """
    if not counts:
        return None
    try:
        tokens, _, output = counts.partition(",")
        return Prompt(int(tokens), int(output or 0), _parse_parts(parts))
    except ValueError:
        return None


def parse_shared_parts(text):
    """Return the ids of the parts that other requests may share, in order.

    ``text`` is the header value with the parts of a prompt, or None. The result is
    empty if it is missing or malformed.
    """
    try:
        return tuple(part.id for part in _parse_parts(text)[:-1])
    except ValueError:
        return ()


def _parse_parts(text):
    return tuple(map(_parse_part, text.split(","))) if text else ()


def _parse_part(text):
    name, _, tokens = text.strip().partition(":")
    return Part(name, int(tokens))
