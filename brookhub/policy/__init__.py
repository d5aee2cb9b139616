"""All decisions of brookhub, for one gateway process: fair-share-ceiling on each request's path, and guards.

A request passes `IntakeFilter`, `QuotaFilter`, `LoanFilter`, `CeilingFilter`, `Dispatcher` and `Upstreams`;
its end passes `PlanLimits`, `LoanBook`, `QuotaLedger` and `Responder` (`gateway.py` builds both chains). The
adapters call `Gateway`; the decisions act through `ports.GatewayPort`. Reasons: docs/design.md.
"""

from .constants import NEVER_RAN as NEVER_RAN
from .gateway import Gateway as Gateway
