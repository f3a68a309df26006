"""Reads the settings again while the process runs, and applies them."""

from result import Err


def reload(program, process, log):
    """Read the settings again and apply them; return whether they could be read."""
    settings = read_again(program.load_settings, process.settings, log)
    if settings is None:
        return False
    adopt_settings(program, process, settings, log)
    return True


def read_again(load_settings, settings, log):
    """Return the settings as they are now, or None if they can't be read.

    ``settings`` are those in force.
    """
    try:
        loaded = load_settings()
    except Exception as error:
        loaded = Err(repr(error))
    if loaded.is_err():
        detail = f"{loaded.err_value}; the earlier settings stay in force"
        log.warning("process: reload failed", error=detail)
        return None
    changed_fields = sorted(find_changes(settings, loaded.ok_value))
    log.info("process: settings reloaded", changed=changed_fields)
    return loaded.ok_value


def adopt_settings(program, process, settings, log):
    """Apply the fields that may change while the process runs, and log the others."""
    changed_fields = find_changes(process.settings, settings)
    for name in changed_fields & program.reloaded_fields:
        setattr(process.settings, name, getattr(settings, name))
    program.apply_settings(process)
    ignored_fields = sorted(changed_fields - program.reloaded_fields)
    if ignored_fields:
        log.warning("process: settings need a restart", fields=ignored_fields)


def find_changes(old, new):
    """Return the set of names of the fields in which two settings differ."""
    return {name for name in old.__slots__ if getattr(old, name) != getattr(new, name)}
