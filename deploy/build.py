"""Builds the program of ``system.toml`` aside and puts it in place by one rename.

All results are in ``target/deps``:

- ``libs-KEY``: the installed dependencies
- ``build-KEY``: a build, that is the dependencies, the project's packages and bytecode
- ``hornbeamstand_platform``: a symbolic link to this package of the build in place
- ``partial-TOKEN``: what is not complete; the next build removes it

A folder gets its final name when it is complete, and is not changed afterwards. Its key
is a hash of its contents and of the platform, so equal sources need no new build. A
process resolves the link once, at its start, and imports everything from that build.
"""

import compileall
import fcntl
import hashlib
import os
import secrets
import shutil
import subprocess
import sys
import sysconfig
import time
from contextlib import contextmanager
from pathlib import Path
from py_compile import PycInvalidationMode

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS = "deploy/requirements.txt"
# Folders of the project's packages, relative to the root of the repository.
PACKAGE_PATTERNS = ("packages/*/hornbeamstand_*", "platform/hornbeamstand_*")
# The package with the program.
PROGRAM = "hornbeamstand_platform"
BUILD_PREFIX = "build-"
LIBS_PREFIX = "libs-"
PARTIAL_PREFIX = "partial-"
# Time for which a build is kept after another one took its place: processes may import
# from it. The build before the one in place is kept longer.
KEEP_S = 24 * 3600.0
# Mode of the lock, and the mask of all modes: another user may run what one has built.
FILE_MODE = 0o644
MODE_MASK = 0o022
N_KEY_CHARS = 16


def build(root=ROOT, install=None):
    """Build the sources below ``root``, unless the build in place is of the same.

    ``install`` installs a requirements file into a folder; by default, with pip.
    """
    os.umask(MODE_MASK)
    deps = root / "target" / "deps"
    deps.mkdir(parents=True, exist_ok=True)
    with hold_lock(deps / ".lock"):
        remove_leftovers(deps)
        requirements = root / REQUIREMENTS
        libs_key = make_key({REQUIREMENTS: requirements.read_bytes()})
        sources = read_sources(root)
        made = deps / (BUILD_PREFIX + make_key({**sources, "libs": libs_key.encode()}))
        if made.exists() and not has_files(made, sources):
            remove(made)
        if not made.exists():
            libs = deps / (LIBS_PREFIX + libs_key)
            make_libs(libs, requirements, install or install_with_pip)
            make_build(made, libs, sources)
        if made != find_in_place(deps):
            put_in_place(made)
        remove_old(deps, made, libs_key)


@contextmanager
def hold_lock(path):
    """Hold the lock of a file. The system releases it if the process ends."""
    # Another user of the checkout may have made the file.
    descriptor = os.open(path, os.O_RDONLY | os.O_CREAT, FILE_MODE)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX)
        yield
    finally:
        os.close(descriptor)


def read_sources(root):
    """Return the files of the project's packages by their paths in a build."""
    packages = [
        package
        for pattern in PACKAGE_PATTERNS
        for package in root.glob(pattern)
        if (package / "__init__.py").exists()
    ]
    return {
        str(file.relative_to(package.parent)): file.read_bytes()
        for package in packages
        for file in package.rglob("*")
        if file.is_file() and "__pycache__" not in file.parts
    }


def make_key(contents):
    """Return a key of the platform and of contents by their names."""
    digest = hashlib.sha256(str(sysconfig.get_config_var("SOABI")).encode())
    for name, content in sorted(contents.items()):
        digest.update(f"\0{name}\0{len(content)}\0".encode() + content)
    return digest.hexdigest()[:N_KEY_CHARS]


def find_in_place(deps):
    """Return the folder of the build in place, or None."""
    link = deps / PROGRAM
    if not link.is_symlink() or not (link / "__main__.py").exists():
        return None
    return deps / os.readlink(link).partition("/")[0]


def has_files(made, sources):
    """Return whether a build still has all files of its sources."""
    return all((made / name).exists() for name in sources)


def make_libs(libs, requirements, install):
    """Install the dependencies, unless they are installed."""
    if libs.exists():
        return
    partial = make_partial(libs.parent)
    install(requirements, partial)
    # Some files of dependencies are for other versions of Python.
    compile_folder(partial)
    complete(partial, libs)


def install_with_pip(requirements, folder):
    """Install the packages of a requirements file into a folder."""
    words = ["install", "--quiet", "--no-compile", "--target", folder]
    command = [sys.executable, "-m", "pip", *words, "-r", requirements]
    subprocess.run(command, check=True)


def make_build(made, libs, sources):
    """Make a build from dependencies and sources.

    Raises RuntimeError if a source can't be compiled.
    """
    partial = make_partial(made.parent)
    shutil.copytree(libs, partial, copy_function=link_file, dirs_exist_ok=True)
    for name, content in sources.items():
        file = partial / name
        file.parent.mkdir(parents=True, exist_ok=True)
        file.write_bytes(content)
    for package in {name.partition("/")[0] for name in sources}:
        if not compile_folder(partial / package):
            raise RuntimeError(f"{package} can't be compiled")
    complete(partial, made)


def link_file(source, target):
    """Link a file that is not changed any more, or copy it where that can't be."""
    try:
        os.link(source, target)
    except OSError:
        shutil.copy2(source, target)


def compile_folder(folder):
    """Compile the modules in a folder; return whether all could be compiled.

    The bytecode is used without a look at its source, whose time may change in a copy.
    """
    mode = PycInvalidationMode.UNCHECKED_HASH
    return compileall.compile_dir(folder, quiet=1, force=True, invalidation_mode=mode)


def make_partial(deps):
    """Make a folder for what is not complete; return it."""
    partial = deps / (PARTIAL_PREFIX + secrets.token_hex(8))
    partial.mkdir()
    return partial


def complete(partial, final):
    """Give a complete folder its final name."""
    # Else a loss of power could leave empty files below the final name.
    os.sync()
    partial.rename(final)


def put_in_place(made):
    """Put a build in place of the one before."""
    deps = made.parent
    link, before = deps / PROGRAM, find_in_place(deps)
    if before is not None:
        # The time from which the build is kept.
        os.utime(before)
    elif link.is_dir() and not link.is_symlink():
        # Earlier versions built in place, into a plain folder.
        link.rename(deps / f"{BUILD_PREFIX}before-{secrets.token_hex(8)}")
    next_link = deps / (PARTIAL_PREFIX + secrets.token_hex(8))
    next_link.symlink_to(f"{made.name}/{PROGRAM}")
    next_link.replace(link)


def remove_leftovers(deps):
    """Remove what builds that were broken off have left."""
    for path in deps.glob(PARTIAL_PREFIX + "*"):
        remove(path)


def remove_old(deps, in_place, libs_key):
    """Remove builds that no process needs, and dependencies that no build needs."""
    builds = set(deps.glob(BUILD_PREFIX + "*")) - {in_place}
    by_age = sorted(builds, key=lambda folder: folder.stat().st_mtime)
    for folder in by_age[:-1]:
        if time.time() - folder.stat().st_mtime > KEEP_S:
            remove(folder)
    # Builds have links or copies of their own.
    for folder in deps.glob(LIBS_PREFIX + "*"):
        if folder.name != LIBS_PREFIX + libs_key:
            remove(folder)


def remove(path):
    """Remove a link or a folder, under a name that no build uses."""
    if path.is_symlink():
        path.unlink()
        return
    partial = path.with_name(PARTIAL_PREFIX + secrets.token_hex(8))
    path.rename(partial)
    # An installation that outlived its build may still write into the folder.
    shutil.rmtree(partial, ignore_errors=True)


if __name__ == "__main__":
    build()
