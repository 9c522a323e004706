#include "backend_fixture.h"

#include "link/free_port.h"

namespace Toucandeck
{

BackendFixture::BackendFixture()
    : m_loop(EventLoop::create(m_clock).value())
    , m_address{ "127.0.0.1", freePort() }
{
    m_listener = Listener::listen(*m_loop, m_address, [this](int descriptor, const std::string &) {
                     m_accepted = std::make_unique<RawSocket>(descriptor);
                 }).value();
}

BackendFixture::~BackendFixture() = default;

bool BackendFixture::runUntil(const std::function<bool()> &done)
{
    return m_loop->runUntil(done, kLimit);
}

bool BackendFixture::hasReceived(const std::string &text)
{
    return m_accepted && m_accepted->receivedText().find(text) != std::string::npos;
}

} // namespace Toucandeck
