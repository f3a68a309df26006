"""Copies of the configuration and of the targets, which peers ask this VM for."""

from ..tasks.failures import report_failure
from .config_copies import COPY_PATH, compress_copy
from .target_copies import TARGETS_PATH
from .target_copy_codec import encode_target_copy


class PeerCopies:
    """Encodes the copies that peers ask for by path.

    Parameters
    ----------
    node : EdgeNode
        Read for the copies.
    """

    __slots__ = ("_node", "_config_source", "_config_copy")

    def __init__(self, node):
        self._node = node
        # The raw configuration that was compressed last, and the result.
        self._config_source = b""
        self._config_copy = None

    def has(self, path):
        """Return whether a path is that of a copy."""
        return path in (COPY_PATH, TARGETS_PATH)

    def get(self, path, now_ms):
        """Return the compressed copy of a path, or None if this VM has none."""
        if path == COPY_PATH:
            return self._get_config()
        return self._get_targets(now_ms)

    def _get_config(self):
        raw = self._node.config_raw
        if raw and self._config_source is not raw:
            self._config_source = raw
            self._config_copy = compress_copy(raw)
        return self._config_copy

    def _get_targets(self, now_ms):
        copy = self._node.recovery.copy(now_ms)
        if copy is None:
            return None
        try:
            return encode_target_copy(copy)
        except (OverflowError, ValueError) as error:
            # An entry of another writer may hold what MessagePack has no form for.
            report_failure("target-copies", error)
            return None
