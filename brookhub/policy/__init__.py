"""All decisions of brookhub, for one gateway process: fair-share-ceiling on each request's path, and guards.

A request passes Intake, Quota, Loans, Ceiling, Queue and Upstreams. Reasons: docs/design.md.
"""

from .constants import NEVER_RAN as NEVER_RAN
from .gateway import Gateway as Gateway
