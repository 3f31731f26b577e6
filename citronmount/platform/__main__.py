"""Runs the process of one VM: ``python -m citronmount.platform``.

The site speaks plain HTTP, and memory is dear on every VM: the libraries of
OpenSSL, which others import where they find them, stay out (4 MB).
"""

import sys

for _module in ("ssl", "_hashlib"):
    sys.modules[_module] = None

from citronmount.platform import daemon  # noqa: E402

if __name__ == "__main__":
    daemon.main()
