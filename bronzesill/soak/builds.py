"""Versions of the code from the history, for hosts of different versions."""

from __future__ import annotations

import subprocess
import tarfile
from pathlib import Path

__all__ = ['extract_version']

_PACKAGE = 'bronzesill'


def extract_version(commit: str, folder: Path) -> Path:
    """
    Write the package of a commit into a folder and return the folder.

    :param commit: commit of the repository in the current folder.
    :param folder: folder that is created.
    :raises CalledProcessError: the history has no such commit.
    """
    folder.mkdir()
    archive = folder / 'package.tar'
    subprocess.run(
        ('git', 'archive', f'--output={archive}', commit, _PACKAGE), check=True
    )
    with tarfile.open(archive) as package:
        package.extractall(folder, filter='data')
    return folder
