#include "runtime/message_frames.h"

#include <zmq.h>

namespace Toucandeck::internal
{

std::optional<std::vector<std::string>> receiveFrames(const ZmqSocket &socket)
{
    std::vector<std::string> frames;
    zmq_msg_t part;
    zmq_msg_init(&part);
    bool more = true;
    while (more && zmq_msg_recv(&part, socket.get(), ZMQ_DONTWAIT) >= 0) {
        frames.emplace_back(static_cast<const char *>(zmq_msg_data(&part)), zmq_msg_size(&part));
        more = zmq_msg_more(&part) != 0;
    }
    zmq_msg_close(&part);
    if (frames.empty()) {
        return std::nullopt;
    }
    return frames;
}

bool sendFrames(const ZmqSocket &socket, const std::vector<std::string> &frames)
{
    for (std::size_t i = 0; i < frames.size(); ++i) {
        const int more = i + 1 < frames.size() ? ZMQ_SNDMORE : 0;
        if (zmq_send(socket.get(), frames[i].data(), frames[i].size(), ZMQ_DONTWAIT | more) < 0) {
            return false;
        }
    }
    return true;
}

} // namespace Toucandeck::internal
