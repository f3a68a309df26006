"""The program starts with nothing from its launcher but its path."""

import shutil
import subprocess
import sys
from importlib.util import find_spec

from hornbeamstand_platform import settings

from .platform_samples import SETTINGS


def copy_module(folder, name):
    """Copy one module with its packages; return the new folder of its package."""
    package = folder
    for part in name.split(".")[:-1]:
        package /= part
        package.mkdir()
        (package / "__init__.py").touch()
    shutil.copy(find_spec(name).origin, package)
    return package


def test_a_launcher_without_a_module_path_starts_the_program(tmp_path):
    """Guards against a start that ends because its own modules are not found."""
    package = copy_module(tmp_path, "hornbeamstand_platform.__main__")
    copy_module(tmp_path, "hornbeamstand_entry.life.inherited")
    (package / "start.py").write_text("def run_process(*args):\n    print('started')\n")
    command = [sys.executable, "-S", "-P", package / "__main__.py"]
    run = subprocess.run(
        command, env={}, cwd=tmp_path, capture_output=True, text=True, timeout=10.0
    )
    assert (run.returncode, run.stdout, run.stderr) == (0, "started\n", "")


def test_settings_are_read_at_the_usual_path_if_no_path_is_given(tmp_path, monkeypatch):
    """Guards against a start that ends because the environment names no file."""
    file = tmp_path / "settings.toml"
    file.write_text(SETTINGS)
    monkeypatch.delenv(settings.SETTINGS_FILE_VARIABLE, raising=False)
    monkeypatch.setattr(settings, "SETTINGS_FILE_DEFAULT", str(file), raising=False)
    assert settings.load_settings().ok_value.vm_id == "edge-a-1"
