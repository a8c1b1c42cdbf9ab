"""The settings in force at a box, as reported to operators and to other boxes.

Settings are in force if the process works by them. A changed settings file may be
refused, and some of its fields take effect only at the next start.
"""

import msgspec

from ..ids import Millis


class SettingsRow(msgspec.Struct):
    """The settings in force, and whether the newest settings file was accepted.

    Attributes
    ----------
    digest : str
        Digest of the settings in force that all boxes share; empty while unknown.
    since : int
        When these settings came into force, in ms.
    refused : str
        Why the newest file was refused: field, value and allowed values; empty if it
        was accepted.
    refused_since : int
        When the newest file was first refused, in ms; -1 if it was accepted.
    waiting : tuple of str
        Changed fields of the newest file that take effect only at the next start.
    """

    digest: str = ""
    since: Millis = Millis(-1)
    refused: str = ""
    refused_since: Millis = Millis(-1)
    waiting: tuple[str, ...] = ()


class PeerSettings(msgspec.Struct, frozen=True):
    """The settings of another box, as that box reports them.

    Attributes
    ----------
    digest : str
        Digest of the settings in force there; empty if not reported.
    since : int
        When these settings came into force, in ms of this box's clock.
    refused : bool
        Whether the newest settings file was refused there.
    waiting : bool
        Whether fields of that file take effect only at the next start.
    """

    digest: str = ""
    since: Millis = Millis(-1)
    refused: bool = False
    waiting: bool = False
