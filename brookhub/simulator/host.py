"""Host of many gateways on one stream: decodes batches, dispatches events to gateways, and replies."""

from __future__ import annotations

import sys
import traceback
from typing import BinaryIO

from ..settings import JsonObject, SettingsError, parse_object
from . import actions
from .events import Event, GatewayKilled, GatewayLaunched
from .frames import Batch, Reply, WireError, read_batch
from .hosted_gateway import HostedGateway

MAX_TRACEBACK_CHARACTERS = 2000


def parse_settings(text: bytes) -> JsonObject:
    """Parse the settings of a gateway that starts. Raises WireError."""
    try:
        return parse_object(text)
    except SettingsError as error:
        raise WireError(str(error)) from error


class Host:
    """Host that reads batches, dispatches their events to gateways, and replies with the gateways' actions.

    `gateways` maps the numbers of the running gateways to them.
    """

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.gateways: dict[int, HostedGateway] = {}

    def run(self) -> None:
        """Answer batches until the input ends. Raises WireError."""
        while (batch := read_batch(self.source)) is not None:
            reply = Reply(batch.number)
            for _, event in batch.records():
                self._handle(batch, reply, event)
            self.sink.write(reply.encode())
            self.sink.flush()

    def _handle(self, batch: Batch, reply: Reply, event: Event) -> None:
        """Handle an event; report an exception of its gateway in the reply. Raises WireError."""
        try:
            if isinstance(event, GatewayKilled):
                self.gateways.pop(event.gateway, None)
            elif isinstance(event, GatewayLaunched):
                self._launch(batch, reply, event)
            else:
                self._dispatch(batch, reply, event)
        except WireError:
            raise
        except Exception:  # A failure of one gateway must not stop the others.
            text = traceback.format_exc()
            print(text, file=sys.stderr)
            position = reply.append_to_tail(text[-MAX_TRACEBACK_CHARACTERS:].encode())
            reply.add(actions.REPORT_FAULT, event.gateway, *position)

    def _launch(self, batch: Batch, reply: Reply, event: GatewayLaunched) -> None:
        """Start a gateway with the settings in the batch's tail."""
        settings = parse_settings(bytes(batch.tail(event.offset, event.length)))
        self.gateways[event.gateway] = HostedGateway(event.gateway, event.seed, settings, batch.clock, reply)

    def _dispatch(self, batch: Batch, reply: Reply, event: Event) -> None:
        """Pass an event to its gateway; drop events for a gateway that is not running."""
        hosted = self.gateways.get(event.gateway)
        if hosted is None:
            return
        hosted.now = batch.clock
        hosted.reply = reply
        hosted.receive(event, batch)
