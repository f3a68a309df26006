"""The store's era: it rises when the store has lost changes that it acknowledged."""

from hornbeamstand_core.discovery import StoreEraNoted

from ..header_numbers import read_count

# Maximum era, and maximum step from one era to the next that is seen. One beyond these
# is an error of its writer.
ERA_MAX = (1 << 20) - 1
ERA_STEP_MAX = 1000


class StoreEra:
    """The latest era that an answer of the store has stated, or None.

    ``report`` takes a StoreEraNoted with each new one.

    Parameters
    ----------
    log : EdgeLog
        Logs the first era that can't be used.
    """

    __slots__ = ("era", "report", "log", "_has_logged")

    def __init__(self, log):
        self.era = None
        self.report = ignore
        self.log = log
        self._has_logged = False

    def check(self, text):
        """Return why an answer must be dropped, or None if it may be used.

        ``text`` is the era that the answer states, or None. What an answer says holds
        only in its own era. One that states no valid era counts as of the latest one.
        """
        if text is None:
            return None
        era = read_count(text)
        if era is None or era > self._max_era():
            self._log_once(text, "not a valid era, ignored")
            return None
        if self.era is not None and era < self.era:
            self._log_once(text, f"earlier than era {self.era}, answer dropped")
            return f"answer of the earlier era {era}"
        earlier_era = self.era
        if era == earlier_era:
            return None
        self.era = era
        self.report(StoreEraNoted(era, earlier_era))
        if earlier_era is None:
            return None
        return f"first answer of era {era}, the call was of era {earlier_era}"

    def _max_era(self):
        return ERA_MAX if self.era is None else min(ERA_MAX, self.era + ERA_STEP_MAX)

    def _log_once(self, text, detail):
        if not self._has_logged:
            self._has_logged = True
            self.log.info("store: odd era", value=text[:20], error=detail)


def ignore(message):
    """Ignore a StoreEraNoted."""
