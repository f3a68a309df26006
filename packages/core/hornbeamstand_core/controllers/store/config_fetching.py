"""When this VM copies the operators' configuration from a peer that has a newer one."""

from ...edge_node_messages import FetchConfig

# Minimum interval between two requests for peers' copies of the configuration.
CONFIG_FETCH_INTERVAL_MS = 200.0


class ConfigFetching:
    """The rate at which copies are requested."""

    __slots__ = ("_sent_at_ms",)

    def __init__(self):
        self._sent_at_ms = float("-inf")

    def request(self, heartbeat, now_ms):
        """Return a list with a FetchConfig from the sender of a heartbeat, if due."""
        if now_ms - self._sent_at_ms < CONFIG_FETCH_INTERVAL_MS:
            return []
        self._sent_at_ms = now_ms
        return [FetchConfig(heartbeat.ip, heartbeat.config_version)]
