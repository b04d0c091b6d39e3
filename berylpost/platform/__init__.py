"""The platform's protocols: their names, formats and calls, without any decisions.

`names` and `headers` cover requests and responses, `boot` the settings file, `entries`
the configuration and the entries of backend servers, `engine_calls` calls to engines,
and `orders` the duty calls. `object_wire` is the protocol of the store; `object_store`
uses it from an event loop, and `objects` from threads through `web`. `cloud` is the
cloud API that berylpost's own planner uses.
"""
