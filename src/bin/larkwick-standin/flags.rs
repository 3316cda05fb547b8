//! Command line of the stand-ins.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins of the systems around larkwick, for tests and trials. Each prints its addresses as a JSON line.
    ///
    /// Example: larkwick-standin platform --address 127.0.0.1:7000 --control 127.0.0.1:7001
    cmd larkwick-standin {
        /// Append-only log, list of instances, weight store.
        cmd platform {
            /// Address to listen on.
            required --address address: SocketAddr
            /// Address of the control port, which sets faults: PUT /faults.
            required --control control: SocketAddr
        }
        /// Model engine.
        cmd engine {
            /// Name of the published endpoint.
            required --name name: String
            /// Address to listen on.
            required --address address: SocketAddr
            /// Address of the control port, which sets faults and returns counters: PUT /faults, GET /counters.
            required --control control: SocketAddr
            /// Platform to announce to and to load weights from.
            optional --platform platform: String
            /// Speed and size as JSON; see docs/ENDPOINTS.md.
            optional --spec spec: String
            /// Model to load at startup, as NAME@VERSION.
            repeated --model model: String
            /// Accept orders without checking their fence.
            optional --no-fence
        }
        /// Plain service that counts how often each request ran.
        cmd service {
            /// Name of the published endpoint.
            required --name name: String
            /// Address to listen on.
            required --address address: SocketAddr
            /// Address of the control port, which sets faults and returns run counts: PUT /faults, GET /runs.
            required --control control: SocketAddr
            /// Platform to announce to.
            optional --platform platform: String
        }
    }
}
