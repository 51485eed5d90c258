"""The one exception tree.

Expected outcomes are values, not exceptions. What stands here is raised only
where the process cannot go on, or where a caller of the tools made a mistake.
"""


class ValeweirError(Exception):
    """Base of every error that valeweir raises."""


class SettingsError(ValeweirError):
    """The settings file cannot be used; ``faults`` lists every reason."""

    def __init__(self, path, faults):
        super().__init__(f"{path}: {len(faults)} fault(s) in the settings")
        self.path = path
        self.faults = faults


class InvariantError(ValeweirError):
    """A promise that the code relies on does not hold; the process must stop."""


class PlatformUnavailable(ValeweirError):
    """A platform service gave no usable answer."""


class AppendUnsettled(PlatformUnavailable):
    """An append may or may not have taken effect."""
