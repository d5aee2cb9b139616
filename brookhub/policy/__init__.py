"""All decisions of brookhub, for one gateway process: fair-share-ceiling on each API call's path, and guards.

Build one Gateway with a Port, a seed and the site's settings and tell it what happens; it acts by the port. A
request passes Intake, Quota, Loans, Ceiling, Queue and Upstreams: each passes it on, keeps it or ends it, and its
end runs through them the other way. Types: interface.py, state.py. Reasons: docs/design.md.
"""

from .constants import NEVER_RAN as NEVER_RAN
from .gateway import Gateway as Gateway
