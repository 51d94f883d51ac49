package main

import "encoding/json"

func jsonOf(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(b)
}

type object = map[string]any

// route is a route of the service orderdesk or textdesk, with the times of siebwerk-hq.
func route(name, prefix, kind, service string, attempts, target, timeout int) object {
	return object{
		"Name": name, "Host": "shop.example", wire("Prefix"): prefix, "Kind": kind, "Service": service, "MaxAttempts": attempts,
		"TargetLatencyMs": target, "TimeoutMs": timeout, "Priority": 2, "Public": false, "Sticky": kind == "stream", "Resumable": false, "TargetGapMs": 200,
	}
}

// config returns a configuration with some routes.
func config(version int, routes ...object) object {
	return object{
		"Version": version, "Routes": routes,
		"Services": []object{
			{"Name": "textdesk", "HealthPath": "/health", "MaxConns": 300, "Protocol": "h1", "Tls": false, "Engine": object{
				"Slots": 48, wire("Capacity"): 111713, "KvTokenBytes": 163840, "LinkMbps": 350000, "Stride": 5, "MaxCount": 12,
				"Models":    []object{{"Name": "model-1", "WeightsMb": 65100, "LoadS": 3.8, "Adapters": 0, "AdapterMb": 12, "WarmS": 0.45, "DiskLoadS": 0.76}},
				"WeightsMb": 230000, "AdapterSlots": 8, wire("Loads"): 2,
			}},
			{"Name": "orderdesk", "HealthPath": "/health", "MaxConns": 100, "Protocol": "h1", "Tls": false},
		},
		"Limits":  object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []object{{"Name": "tenant-1", wire("Keys"): []string{"key-1"}, "Unit": "tokens", "PlainTokens": 200, wire("Rate"): 1000000, "Burst": 1000000}},
	}
}
