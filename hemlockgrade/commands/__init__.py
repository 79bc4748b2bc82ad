"""Functions behind the commands of hemlockctl, a module a command group."""
