"""Writes the annotated sample trees of docs/samples. Run from the root."""
import json

def endpoint(i, place, kind, **more):
    port = (9001 if kind == "model" else 9101) + i
    return {"addr": f"127.0.0.1:{port}", "place": place, "kind": kind, **more}

def registry():
    places = ["vake", "saburtalo", "didube", "isani"]
    root = {
        "note": "Mtkvari Number Registry: four data centres in Tbilisi, weighs moves more than attainment",
        "set": {"places": places, "concurrency": 4000, "body": "4MB", "deadline": "5m", "stall": "20s",
                "targets": {"urgent": "1s", "normal": "5s", "batch": "10m"}, "moves": 3, "attainment": 1},
        "store": {"rate": 2, "slots": 7},
        "endpoints": {},
        "children": {},
    }
    for i in range(12):
        root["endpoints"][f"draft-{i+1:02d}"] = endpoint(i, places[i % 4], "model", memory="80GB", cache="16GB", slots=16, fenced=i % 4 < 2)
    for i in range(4):
        root["endpoints"][f"lookup-{i+1}"] = endpoint(i, places[i], "plain", service="lookup", slots=64)
    root["children"]["service/lookup"] = {
        "note": "whois and delegation lookups that members' scripts hit constantly",
        "service": {"kind": "plain", "calls": [{"method": "POST", "path": "/delegations", "repeat": False}]},
        "set": {"class": "urgent", "concurrency": 2000, "deadline": "10s", "targets": {"urgent": "200ms"}},
    }
    drafting = {
        "note": "drafts of allocation justifications; a lost draft is retyped at midnight",
        "service": {"kind": "model"}, "set": {"class": "normal", "concurrency": 400}, "children": {}}
    review = {
        "note": "transfer reviews run at most once and stay in two data centres",
        "service": {"kind": "model"},
        "set": {"class": "normal", "repeat": False, "places": ["vake", "saburtalo"], "concurrency": 40}, "children": {}}
    for i in range(15):
        name = f"kartli-{i+1:02d}"
        group = review if i >= 12 else drafting
        size = ["14GB", "9GB", "22GB"][i % 3]
        group["children"][f"model/{name}"] = {"model": {"version": "1", "memory": size, "load": "8s"}, "set": {}}
        for k in range(5):
            group["children"][f"model/{name}-a{k+1}"] = {
                "model": {"version": "1", "memory": "300MB", "base": name, "load": "500ms"}, "set": {}}
    root["children"]["service/drafting"] = drafting
    root["children"]["service/review"] = review
    return root

def cooperative():
    places = ["catania", "caltagirone", "enna"]
    root = {
        "note": "Cooperativa Officine Agricole Siciliane: three data centres, weighs attainment more than moves",
        "set": {"places": places, "concurrency": 3000, "body": "4MB", "deadline": "5m", "stall": "20s",
                "targets": {"urgent": "800ms", "normal": "5s", "batch": "20m"}, "moves": 1, "attainment": 3},
        "store": {"rate": 2, "slots": 4},
        "endpoints": {},
        "children": {},
    }
    for i in range(12):
        root["endpoints"][f"shop-{i+1:02d}"] = endpoint(i, places[i % 3], "model", memory="80GB", cache="16GB", slots=16, fenced=i % 3 == 0)
    for i in range(3):
        root["endpoints"][f"parts-{i+1}"] = endpoint(i, places[i], "plain", service="parts", slots=32)
    root["children"]["service/parts"] = {
        "note": "parts and warranty calls; an order must land exactly once",
        "service": {"kind": "plain", "calls": [{"method": "POST", "path": "/orders", "repeat": False},
                                                 {"method": "POST", "path": "/warranty", "repeat": False}]},
        "set": {"class": "urgent", "concurrency": 500, "deadline": "30s", "targets": {"urgent": "300ms"}},
    }
    fault = {"note": "the fault-code assistant, while the combine is open",
             "service": {"kind": "model"}, "set": {"class": "urgent", "concurrency": 400}, "children": {}}
    night = {"note": "service-manual summaries can wait their turn",
             "service": {"kind": "model"}, "set": {"class": "batch", "concurrency": 100}, "children": {}}
    for i in range(20):
        name = f"etna-{i+1:02d}"
        group = night if i >= 14 else fault
        size = ["14GB", "9GB", "20GB", "7GB"][i % 4]
        group["children"][f"model/{name}"] = {"model": {"version": "1", "memory": size, "load": "8s"}, "set": {}}
        for k in range(3 if i < 15 else 4):
            group["children"][f"model/{name}-a{k+1}"] = {
                "model": {"version": "1", "memory": "300MB", "base": name, "load": "500ms"}, "set": {}}
    root["children"]["service/faults"] = fault
    root["children"]["service/manuals"] = night
    return root

def demo():
    places = ["north", "south"]
    return {
        "note": "three engines in two places and one plain service, for make demo",
        "set": {"places": places, "concurrency": 200, "deadline": "1m", "stall": "5s",
                "targets": {"urgent": "1s", "normal": "5s", "batch": "1m"}},
        "store": {"rate": 20, "slots": 4},
        "endpoints": {
            "engine-1": endpoint(0, "north", "model", memory="80GB", cache="16GB", slots=8, fenced=True),
            "engine-2": endpoint(1, "south", "model", memory="80GB", cache="16GB", slots=8),
            "engine-3": endpoint(2, "south", "model", memory="80GB", cache="16GB", slots=8),
            "parts-1": endpoint(0, "north", "plain", service="parts", slots=16),
        },
        "children": {
            "service/parts": {"note": "an order runs at most once", "service": {"kind": "plain", "calls": [{"method": "POST", "path": "/orders", "repeat": False}]},
                              "set": {"class": "urgent"}},
            "service/chat": {"note": "anywhere", "service": {"kind": "model"}, "set": {}, "children": {
                "model/small": {"model": {"version": "1", "memory": "14GB", "load": "500ms"}, "set": {}},
                "model/small-poems": {"model": {"version": "1", "memory": "300MB", "base": "small", "load": "200ms"}, "set": {}}}},
            "service/review": {"note": "stays in the south", "service": {"kind": "model"}, "set": {"places": ["south"], "repeat": False}, "children": {
                "model/large": {"model": {"version": "1", "memory": "40GB", "load": "500ms"}, "set": {}}}},
        },
    }

for name, make in (("registry", registry), ("cooperative", cooperative), ("demo", demo)):
    with open(f"docs/samples/{name}.json", "w", encoding="utf-8") as f:
        json.dump(make(), f, indent=2)
        f.write("\n")
