"""Typed errors; each names the failed step and what the step was applied to."""


class HornbeamError(Exception):
    """Base of the project's errors.

    Parameters
    ----------
    step : str
        What was being done, such as ``"platform.read"``.
    peer : str
        What the step was applied to: an address, a key or a file.
    detail : str
        What went wrong, in one sentence.
    """

    def __init__(self, step, peer, detail):
        # Names of fields and files may contain line breaks; the text is one line.
        super().__init__("\\n".join(f"{step}: {peer}: {detail}".splitlines()))
        self.step = step
        self.peer = peer
        self.detail = detail


class ConfigError(HornbeamError):
    """A settings or configuration file was rejected."""


class PlatformError(HornbeamError):
    """The platform's store did not answer, or answered with an error."""


class ConflictError(HornbeamError):
    """A compare-and-swap found a revision other than the expected one."""
