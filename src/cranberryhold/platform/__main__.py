"""Runs a flow daemon on the platform: ``python -m cranberryhold.platform ROLE``.

The deploy file names this file by its path, which saves the imports of ``-m``.
"""

import gc
import marshal
import posix
import sys
from _frozen_importlib import ModuleSpec
from _frozen_importlib_external import MAGIC_NUMBER

BUNDLE_NAME = "cranberryhold.bundle"


class BundleImporter:
    """Imports modules from a file in which the build has put their compiled code.

    Finding and reading the file of each module would take a tenth of the processor time
    until the first packet. As with compiled files, a module whose source has changed is
    imported from its source.

    :param directory: directory that contains the package and the bundle.
    """

    def __init__(self, directory: str) -> None:
        self._directory = directory
        self._modules: dict[str, tuple[str, int, int, bytes]] = {}
        try:
            with open(f"{directory}/{BUNDLE_NAME}", "rb") as file:
                data = file.read()
        except OSError:
            # The sources are run without a build.
            return
        if data.startswith(MAGIC_NUMBER):
            self._modules = marshal.loads(data[len(MAGIC_NUMBER) :])

    def find_spec(
        self, name: str, _path: object = None, _target: object = None
    ) -> ModuleSpec | None:
        """Return the specification of a module, None if it is not in the bundle."""
        if name not in self._modules:
            return None
        source, modified_ns, size, _ = self._modules[name]
        path = f"{self._directory}/{source}"
        try:
            status = posix.stat(path)
        except OSError:
            return None
        if (status.st_mtime_ns, status.st_size) != (modified_ns, size):
            return None
        is_package = path.endswith("/__init__.py")
        spec = ModuleSpec(name, self, origin=path, is_package=is_package)
        spec.has_location = True
        if is_package:
            spec.submodule_search_locations.append(path.rpartition("/")[0])
        return spec

    def create_module(self, _spec: ModuleSpec) -> None:
        """Let the import system create the module."""

    def exec_module(self, module: object) -> None:
        """Run the code of a module."""
        exec(marshal.loads(self._modules[module.__name__][3]), module.__dict__)


# Collecting garbage finds next to none while modules are imported; the daemon enables
# it afterwards.
gc.disable()
# The daemons don't use TLS, and asyncio imports an eighth faster without it.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]
sys.meta_path.insert(0, BundleImporter(__file__.rsplit("/", 3)[0]))

from cranberryhold.platform.runner import main  # noqa: E402 - needs the lines above

if __name__ == "__main__":
    sys.exit(main())
