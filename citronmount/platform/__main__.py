"""Runs the process of one VM: ``python -m citronmount.platform``.

The site uses plain HTTP only. Several dependencies import the OpenSSL bindings
if these are present, which costs 4 MB of memory on every VM. Setting the
modules to None makes these imports fail.
"""

import sys

for _module in ("ssl", "_hashlib"):
    sys.modules[_module] = None

from citronmount.platform import daemon  # noqa: E402

if __name__ == "__main__":
    daemon.main()
