"""The cluster's state as one node has read it from the store."""

import functools

from kingcupscale import dependencies
from kingcupscale import events
from kingcupscale.fleet import catalogue
from kingcupscale.fleet import registry
from kingcupscale.storage import decoding
from kingcupscale.storage import mirror as mirrors
from kingcupscale.storage import store as stores


class ClusterState:
    """Keeps the configuration, backend servers and target weight versions.

    It applies entries from the store as they change. An entry that cannot be
    decoded is logged and ignored. A configuration or a target version older
    than the current one is ignored too.

    Args:
        mirror: The local mirror of the store.
        servers: Receives the backend servers' entries.
        keys: Keys and key prefixes of the entries.
        decoders: Functions that decode the entries' values.

    Attributes:
        catalogue: The configuration in force; None before the first.
        target_versions: Newest weight version that a trainer set, by model.
    """

    def __init__(
        self,
        mirror: mirrors.StoreMirror,
        servers: registry.ServerRegistry,
        keys: dependencies.Keys,
        decoders: dependencies.Decoders,
    ) -> None:
        self.servers = servers
        self.keys = keys
        self.decoders = decoders
        self.catalogue: catalogue.Catalogue | None = None
        self.target_versions: dict[str, int] = {}
        mirror.subscribe(keys.configuration, self._apply_configuration)
        mirror.subscribe(keys.servers, self._apply_server)
        mirror.subscribe(keys.versions, self._apply_target_version)
        mirror.subscribe(keys.evacuations, self._apply_evacuation)

    def _apply_configuration(self, entry: stores.Entry) -> None:
        if entry.value is None:
            return
        found = decoding.decode_entry(entry, self.decoders.catalogue)
        if found is None or not catalogue.is_newer(found, self.catalogue):
            return
        self.catalogue = found
        events.log(
            events.Event.CONFIGURATION_APPLIED,
            revision=found.version,
            routes=len(found.routes),
            organisations=len(found.organisations),
        )

    def _apply_server(self, entry: stores.Entry) -> None:
        server_id = entry.key.removeprefix(self.keys.servers)
        if entry.value is None:
            self.servers.remove(server_id)
            return
        decode = functools.partial(self.decoders.server, server_id)
        found = decoding.decode_entry(entry, decode)
        if found is not None:
            self.servers.register(found)

    def _apply_evacuation(self, entry: stores.Entry) -> None:
        """Applies the existence of a key; its value has no meaning."""
        zone = entry.key.removeprefix(self.keys.evacuations)
        if entry.value is None:
            self.servers.evacuations.end(zone)
        else:
            self.servers.evacuations.begin(zone)

    def _apply_target_version(self, entry: stores.Entry) -> None:
        if entry.value is None:
            return
        found = decoding.decode_entry(entry, self.decoders.target_version)
        if found is None:
            return
        model, version = found
        if version > self.target_versions.get(model, 0):
            self.target_versions[model] = version
            events.log(events.Event.VERSION_NAMED, model=model, version=version)
