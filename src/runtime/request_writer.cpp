#include "runtime/request_writer.h"

#include <cerrno>
#include <event2/buffer.h>
#include <event2/event.h>
#include <memory>
#include <utility>

namespace Toucandeck::internal
{

namespace
{

constexpr ev_ssize_t kMaxWriteBytes = 64 << 10; ///< At once, so that other connections are not delayed by a large request.

} // namespace

RequestWriter::RequestWriter(EventLoop &loop)
    : m_loop(loop)
    , m_unwritten(evbuffer_new())
{
}

RequestWriter::~RequestWriter()
{
    stop();
    evbuffer_free(m_unwritten);
}

void RequestWriter::start(int descriptor)
{
    m_descriptor = descriptor;
}

void RequestWriter::write(std::string text)
{
    if (text.empty() || m_error != 0) {
        return;
    }
    const auto destroy = [](const void * /*data*/, std::size_t /*size*/, void *owned) { delete static_cast<std::string *>(owned); };
    auto owned = std::make_unique<std::string>(std::move(text));
    if (evbuffer_add_reference(m_unwritten, owned->data(), owned->size(), destroy, owned.get()) == 0) {
        static_cast<void>(owned.release()); // Owned by the buffer.
    }
    writeSome();
}

void RequestWriter::writeSome()
{
    const auto n = evbuffer_write_atmost(m_unwritten, m_descriptor, kMaxWriteBytes);
    if (n < 0 && errno != EAGAIN && errno != EINTR) {
        m_error = errno;
        evbuffer_drain(m_unwritten, evbuffer_get_length(m_unwritten));
    }
    if (evbuffer_get_length(m_unwritten) == 0) {
        if (m_writable != nullptr) {
            event_del(m_writable);
        }
        return;
    }
    if (m_writable == nullptr) {
        const auto onWritable
            = [](evutil_socket_t /*descriptor*/, short /*what*/, void *self) { static_cast<RequestWriter *>(self)->writeSome(); };
        m_writable = event_new(m_loop.base(), m_descriptor, EV_WRITE | EV_PERSIST, onWritable, this);
    }
    event_add(m_writable, nullptr);
}

void RequestWriter::stop()
{
    if (m_writable != nullptr) {
        event_free(std::exchange(m_writable, nullptr));
    }
    evbuffer_drain(m_unwritten, evbuffer_get_length(m_unwritten));
    m_descriptor = -1;
    m_error = 0;
}

bool RequestWriter::isFinished() const
{
    return m_error == 0 && evbuffer_get_length(m_unwritten) == 0;
}

bool RequestWriter::hasConsumedError() const
{
    return m_error != 0 && m_error != EPIPE;
}

} // namespace Toucandeck::internal
