"""Settings of the documentation's build."""

project = 'bronzesill'
author = 'the bronzesill developers'
extensions = ['sphinx.ext.autodoc']
exclude_patterns = ['_build']
html_theme = 'alabaster'
