//! Command line of the stand-ins.

use std::net::SocketAddr;

xflags::xflags! {
    /// Stand-ins of the systems around larkwick, for tests and trials. Each prints its addresses as a JSON line.
    ///
    /// Example: larkwick-standin platform --address 127.0.0.1:7000 --control 127.0.0.1:7001
    cmd larkwick-standin {
        /// Append-only log, list of instances, weight store.
        cmd platform {
            /// Where it listens.
            required --address address: SocketAddr
            /// Where its faults are set: PUT /faults.
            required --control control: SocketAddr
        }
        /// Model engine.
        cmd engine {
            /// Name of the published endpoint.
            required --name name: String
            /// Where it listens.
            required --address address: SocketAddr
            /// Where its faults are set and its counters read: PUT /faults, GET /counters.
            required --control control: SocketAddr
            /// Platform to announce to and to load weights from.
            optional --platform platform: String
            /// Speed and size as JSON; see docs/ENDPOINTS.md.
            optional --spec spec: String
            /// Model loaded from the start, as NAME@VERSION.
            repeated --model model: String
            /// Obey orders whatever their fence.
            optional --no-fence
        }
        /// Plain service that counts how often each request ran.
        cmd service {
            /// Name of the published endpoint.
            required --name name: String
            /// Where it listens.
            required --address address: SocketAddr
            /// Where its faults are set and its runs read: PUT /faults, GET /runs.
            required --control control: SocketAddr
            /// Platform to announce to.
            optional --platform platform: String
        }
    }
}
