"""Imports libraries without the modules that serving does not need.

A library may import more than the process uses of it: clients with cookies, encryption,
mail. Each VM that starts takes that processor time from those that serve on its host.

- A late module is executed when one of its names is first used, or a submodule that is
  not imported yet.
- A stand-in has the few names that a library takes from a module while it is imported.
  Any other name comes from the module itself, which is then imported.

So a library that changes works too: it only takes more time to import.
"""

import sys
import typing
from contextlib import contextmanager, suppress
from importlib import import_module
from importlib.util import find_spec, module_from_spec
from types import ModuleType

from ..request_headers import RequestHeaders

# Modules that are executed when a name of theirs is used: the clients of
# geventhttpclient, structlog's loggers for other libraries, what ``result`` checks
# decorators with.
LATE_MODULES = ("geventhttpclient", "structlog", "inspect")


class LateModule(ModuleType):
    """A module that is not executed yet."""

    def __getattr__(self, name):
        """Execute the module, and return a value that it has then."""
        self.__class__ = ModuleType
        allow_submodules(self)
        try:
            self.__spec__.loader.exec_module(self)
        except BaseException:
            # The process may have too few descriptors, or too little memory, for now.
            self.__class__ = LateModule
            forbid_submodules(self)
            raise
        return getattr(self, name)


class StandIn(ModuleType):
    """A module that has only some names itself."""

    def __getattr__(self, name):
        """Return a value of the module in whose place this one is."""
        # An import asks each module whether it is a package.
        if name == "__path__":
            raise AttributeError(name)
        if sys.modules.get(self.__name__) is self:
            del sys.modules[self.__name__]
        return getattr(import_module(self.__name__), name)


class NoConnectionPool:
    """Stands for the pool of encrypted connections, which only annotations name."""

    __slots__ = ()


class ParserError(Exception):
    """Stands for the base class of the errors of geventhttpclient's parser."""


class PlainHeaders(RequestHeaders):
    """Stands for the headers of ``http.client``, from which gevent derives its own."""

    __slots__ = ()


def parse_headers(file, _class):
    """Read the headers of a file up to the empty line, as ``http.client`` does."""
    text = ""
    for line in iter(file.readline, b""):
        text += line.decode("latin-1")
        if not line.rstrip(b"\r\n"):
            break
    return _class.from_text(text)


# Names that gevent and the parser of geventhttpclient take from ``http.client``.
HTTP_CLIENT_NAMES = {
    "HTTPException": ParserError,
    "HTTPMessage": PlainHeaders,
    "parse_headers": parse_headers,
}

# Names that msgspec takes from ``typing_extensions``, and that ``typing`` has too.
TYPING_NAMES = {
    "get_type_hints": typing.get_type_hints,
    "NotRequired": typing.NotRequired,
    "Required": typing.Required,
}


def patch_modules():
    """Let the interpreter's modules wait in gevent's event loop.

    The process starts no other and encrypts nothing. No plugin of gevent is looked for:
    each of some twenty events would read the metadata of all installed packages.
    """
    from gevent import monkey

    with stand_in("importlib.metadata", {"entry_points": find_no_plugins}):
        monkey.patch_all(subprocess=False, ssl=False)


def find_no_plugins(group):
    """Return the plugins of a group: none."""
    return ()


def import_libraries():
    """Import the libraries without what serving does not need."""
    late_modules = [defer(name) for name in LATE_MODULES if name not in sys.modules]
    pool = {"ConnectionPool": NoConnectionPool}
    with stand_in("http.client", HTTP_CLIENT_NAMES):
        try_import("gevent.pywsgi")
        with stand_in("geventhttpclient.connectionpool", pool):
            try_import("geventhttpclient.response")
    try_import("structlog._base")
    with stand_in("typing_extensions", TYPING_NAMES):
        try_import("msgspec")
    for module in filter(None, late_modules):
        if type(module) is LateModule:
            forbid_submodules(module)


def try_import(name):
    """Import a module. If that fails, the module that needs it reports why."""
    with suppress(Exception):
        import_module(name)


def defer(name):
    """Make a module a late one and return it; None if it can't be found."""
    spec = find_spec(name)
    if spec is None:
        return None
    module = module_from_spec(spec)
    module.__class__ = LateModule
    sys.modules[name] = module
    return module


def forbid_submodules(module):
    """Let the import of a submodule execute the module, whose ``__path__`` it reads."""
    vars(module).pop("__path__", None)


def allow_submodules(module):
    """Let submodules be imported, if the module is a package."""
    path = module.__spec__.submodule_search_locations
    if path is not None:
        module.__path__ = path


@contextmanager
def stand_in(name, values):
    """Put a stand-in with some values in place of a module, unless that is imported."""
    if name in sys.modules:
        yield
        return
    module = StandIn(name)
    vars(module).update(values)
    sys.modules[name] = module
    try:
        yield
    finally:
        if sys.modules.get(name) is module:
            del sys.modules[name]
