#pragma once

namespace Toucandeck
{

/// What a server does with a connection after its response, without reading the rest of the request.
enum class ConnectionEnding {
    Open, ///< Nothing.
    EndOfStream, ///< Ends its stream in order.
    EndOfStreamThenReset,
    Reset,
};

/// Ends a RawSocket or RawPeer in this way.
template<class Connection>
void endConnection(Connection &connection, ConnectionEnding ending)
{
    if (ending == ConnectionEnding::EndOfStream || ending == ConnectionEnding::EndOfStreamThenReset) {
        connection.endStream();
    }
    if (ending == ConnectionEnding::Reset || ending == ConnectionEnding::EndOfStreamThenReset) {
        connection.reset();
    }
}

} // namespace Toucandeck
