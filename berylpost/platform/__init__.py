"""The users' platform: all that knows its names, and no decision.

`names` and `headers` have what stands in requests and answers, `boot` the settings
file, `entries` configuration and backend servers, `engine_calls` what engines are
asked, `orders` the duty calls. `object_wire` is the store's protocol; `object_store`
speaks it from an event loop and `objects` from threads, over `web`. `cloud` is the
cloud API of the product's own planner.
"""
