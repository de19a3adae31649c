"""Translates between robinspindle and its users' platform; decides nothing.

``settings`` reads the settings file, ``dialect`` requests and answers, ``documents``
the operator's configuration and the targets' entries, ``store`` the log service, and
``engines`` the calls to model engines. All names of the platform end here.
"""
