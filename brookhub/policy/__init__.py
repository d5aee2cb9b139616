"""The policy of one gateway process: all decisions on requests, servers and quotas.

Requests pass the filters of fair-share-ceiling and of overload protection: `IntakeFilter`, `QuotaFilter`,
`LoanFilter`, `CeilingFilter`, `Dispatcher` and `Upstreams`. At its end a request passes `PlanLimits`,
`LoanBook`, `QuotaLedger` and `Responder`. `gateway.py` builds both chains. The adapters call `Gateway`, and
the policy acts through `ports.GatewayPort`. The reasons for the design are in docs/design.md.
"""

from .constants import NEVER_RAN as NEVER_RAN
from .gateway import Gateway as Gateway
