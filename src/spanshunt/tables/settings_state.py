"""Which settings a box has in force, as it tells operators and other boxes."""

import msgspec

from ..ids import Millis


class SettingsRow(msgspec.Struct):
    """The settings in force, and what became of the newest file.

    Attributes
    ----------
    digest : str
        Names what is in force of the settings that all boxes share; empty while that
        is unknown.
    since : int
        When that came into force, in ms.
    refused : str
        Why the newest file is not taken: field, value and what is allowed; empty if it
        was taken.
    refused_since : int
        When it was refused first, in ms; -1 if it is not.
    waiting : tuple of str
        Fields of the newest file that take effect at the next start only.
    """

    digest: str = ""
    since: Millis = Millis(-1)
    refused: str = ""
    refused_since: Millis = Millis(-1)
    waiting: tuple[str, ...] = ()


class ToldSettings(msgspec.Struct, frozen=True):
    """What another box told of its settings.

    Attributes
    ----------
    digest : str
        Names what it has in force; empty if it did not tell.
    since : int
        When that came into force, in ms of this box's clock.
    refused : bool
        Whether its newest file is refused.
    waiting : bool
        Whether fields of that file wait for its next start.
    """

    digest: str = ""
    since: Millis = Millis(-1)
    refused: bool = False
    waiting: bool = False
