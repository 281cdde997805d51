"""Dispatches HTTP requests to handlers by method and path."""

from kingcupscale import errors
from kingcupscale.web import message


class HttpRouter:
    """Dispatches requests by exact path first, then by the longest prefix."""

    def __init__(self) -> None:
        self.exact: dict[str, dict[str, message.Handler]] = {}
        self.prefixes: dict[str, message.Handler] = {}

    def add(self, method: str, path: str, handler: message.Handler) -> None:
        """Adds the handler of one method of one path."""
        self.exact.setdefault(path, {})[method] = handler

    def add_prefix(self, prefix: str, handler: message.Handler) -> None:
        """Adds the handler of all methods and paths under a prefix."""
        self.prefixes[prefix] = handler

    async def __call__(self, request: message.Request) -> message.Response:
        """Passes a request to its handler.

        Raises:
            ServiceError: ``ROUTE_UNKNOWN`` or ``METHOD_NOT_ALLOWED``.
        """
        methods = self.exact.get(request.path)
        if methods is None:
            return await self._find_prefix_handler(request.path)(request)
        handler = methods.get(request.method)
        if handler is None:
            raise errors.ServiceError(
                errors.ResultCode.METHOD_NOT_ALLOWED,
                f"{request.path} supports {', '.join(sorted(methods))}",
            )
        return await handler(request)

    def _find_prefix_handler(self, path: str) -> message.Handler:
        for prefix in sorted(self.prefixes, key=len, reverse=True):
            if path.startswith(prefix):
                return self.prefixes[prefix]
        raise errors.ServiceError(
            errors.ResultCode.ROUTE_UNKNOWN,
            f"no route matches the path {path[:80]}",
        )
