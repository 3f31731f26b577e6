"""Runs the process of one VM: ``python -m citronmount.platform``.

The site uses plain HTTP only. Dependencies import the OpenSSL bindings if these
are present, at 4 MB of memory per VM; a module set to None fails to import.
"""

import sys

for _module in ("ssl", "_hashlib"):
    sys.modules[_module] = None

from citronmount.platform import daemon  # noqa: E402

if __name__ == "__main__":
    daemon.main()
