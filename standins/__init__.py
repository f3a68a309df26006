"""Stand-ins for the platform, targets and callers, for tests and demos only.

``platform``, ``target``, ``caller`` and ``cluster`` go with the entry VMs of
``hornbeamstand run``. ``store``, ``server`` and ``edge_cell`` go with the edge
processes of ``hornbeamstand_platform``, which speak the platform's own protocol.
"""
