"""Decoder of client commands, which validates them against the site's settings."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TypeAlias, TypeGuard

from ..protocol import resp
from ..protocol.errors import InvalidRequestError, MalformedError
from ..protocol.request_codec import ARGUMENT_COUNTS, ParsedRequest
from ..site import GatewaySettings


@dataclass(frozen=True, slots=True)
class Ping:
    """Command that asks whether this gateway is ready."""


@dataclass(frozen=True, slots=True)
class InvalidCommand:
    """Well-formed command that is unknown or has invalid arguments, with the error reply for its client."""

    reply: bytes


Command: TypeAlias = ParsedRequest | Ping | InvalidCommand

PING = Ping()


class RequestDecoder:
    """Decoder of commands. Immutable, so the threads of all connections use it without a lock."""

    def __init__(self, settings: GatewaySettings) -> None:
        self.routes = {route.name.encode(): route for route in settings.routes}
        self.plans = {plan.name.encode(): plan for plan in settings.plans}
        self._gateways = settings.gateways
        self._max_request_units = settings.max_request_units

    def decode(self, value: resp.RespValue) -> Command:
        """Decode one command. Raises MalformedError if it is not an array of bulk strings."""
        if not is_array_of_bulk_strings(value):
            raise MalformedError("a command is an array of bulk strings")
        if value[0].upper() == b"PING":
            return PING
        if value[0] not in ARGUMENT_COUNTS:
            return InvalidCommand(resp.encode_error("ERR unknown command"))
        try:
            return self._decode_request(value)
        except InvalidRequestError as error:
            return InvalidCommand(resp.encode_error(f"ERR {error}"))

    def _decode_request(self, arguments: list[bytes]) -> ParsedRequest:
        request = ParsedRequest(arguments)
        route = self.routes.get(request.route_name) if request.route_name else None
        if route is None or request.plan_name not in self.plans:
            raise InvalidRequestError("unknown c or t")
        request.validate(route, self._gateways, self._max_request_units)
        return request


def is_array_of_bulk_strings(value: resp.RespValue) -> TypeGuard[list[bytes]]:
    """Return whether a value is an array of one or more bulk strings."""
    return isinstance(value, list) and bool(value) and all(type(item) is bytes for item in value)
