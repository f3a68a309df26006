"""Test helpers: a valid server entry, configuration and settings of the platform."""

import msgspec

SERVER = {
    "Address": "10.128.0.9:8080",
    "Info": {"Backend": "shop", "Version": "v1", "Zone": "a", "Concurrency": 3},
    "Status": {"State": "ready", "Seq": 4, "WarmupLeft": "250ms"},
    "born": 1700000000123,
}
CONFIG = {
    "Version": "r7",
    "Services": [
        {
            "Name": "shop",
            "HealthPath": "/health",
            "MaxConns": 220,
            "Warmup": "3s",
            "WarmupPerS": 3.1,
        }
    ],
    "Limits": {
        "MaxHeaderBytes": 16384,
        "MaxBodyBytes": 67108864,
        "HeaderTimeout": "3000ms",
        "IdleTimeout": "15000ms",
    },
    "Vhosts": [
        {
            "Hostname": "H.example",
            "Paths": [
                {
                    "Name": "r-1",
                    "Prefix": "/a/",
                    "RouteType": "idempotent",
                    "Timeout": "1200ms",
                    "Goal": "600ms",
                    "Priority": 2,
                    "Attempts": 2,
                    "TrafficSplit": [
                        {"Backend": "shop", "Weight": 90},
                        {"Backend": "depot", "Weight": 10},
                    ],
                },
                {
                    "Name": "r-2",
                    "Prefix": "/b/",
                    "RouteType": "non_idempotent",
                    "Timeout": "1.5s",
                    "Goal": "800ms",
                    "Priority": 1,
                    "Attempts": 2,
                    "Backend": "shop",
                },
            ],
        }
    ],
}
SETTINGS = """
[Self]
NodeName = "edge-a-1"
Ip = "127.0.0.2"
Zone = "a"
Unknown = 1
[Self.Limits]
CpuShare = 0.86
Cpus = 1
BandwidthMbps = 1000.0
[Network]
InternalPorts = [7540, 7555]
Seeds = ["127.0.0.3:8544"]
[Network.Listen]
Frontend = "127.0.0.2:8548"
Readiness = "127.0.0.2:8542"
Registry = "127.0.0.2:8546"
[Network.Zones]
a = "r"
b = "r"
[Platform.Platform]
Address = "127.0.0.1:8541"
[Terms.Bounds]
ttl_max = "5s"
Grace = "6s"
RetryRatio = 0.2
RetrySlack = 56
RetryWindow = "10s"
"""


def encoded(value, **changes):
    return msgspec.json.encode({**value, **changes})
