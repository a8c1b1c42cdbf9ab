"""spanshunt: a model-aware router for versions and cascades.

What is named here is public; everything else may change without notice.
"""

from .changes import Plan as Plan
from .clock import Clock as Clock
from .clock import ManualClock as ManualClock
from .exceptions import InvalidInputError as InvalidInputError
from .exceptions import InvariantError as InvariantError
from .exceptions import SettingsError as SettingsError
from .exceptions import SpanshuntError as SpanshuntError
from .intents import IntentDocument as IntentDocument
from .systems.choice import choose as choose
from .systems.fold import fold_record as fold_record
from .systems.planner import make_plan as make_plan
from .tables.config import Config as Config
from .version import __version__ as __version__
