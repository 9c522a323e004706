#include "runtime/event_loop.h"

#include "common/assert.h"

#include <algorithm>
#include <event2/event.h>

namespace Toucandeck
{

struct EventLoop::Watch::Entry : std::enable_shared_from_this<EventLoop::Watch::Entry>
{
    EventLoop *loop = nullptr;
    event *registration = nullptr;
    Handler handler;
    bool active = true;
    bool oneShot = false;

    ~Entry()
    {
        cancel();
    }

    void cancel()
    {
        active = false;
        if (registration != nullptr) {
            event_free(registration);
            registration = nullptr;
        }
    }

    static void onFired(evutil_socket_t /*descriptor*/, short /*what*/, void *arg)
    {
        // Keeps the entry alive while its handler may destroy the watch.
        const auto self = static_cast<Entry *>(arg)->shared_from_this();
        if (self->oneShot) {
            self->active = false;
        }
        self->loop->endIteration();
        self->handler();
    }
};

EventLoop::Watch::Watch(std::shared_ptr<Entry> entry)
    : m_entry(std::move(entry))
{
}

EventLoop::Watch &EventLoop::Watch::operator=(Watch &&other) noexcept
{
    if (this != &other) {
        cancel();
        m_entry = std::move(other.m_entry);
    }
    return *this;
}

EventLoop::Watch::~Watch()
{
    cancel();
}

void EventLoop::Watch::cancel()
{
    if (m_entry) {
        m_entry->cancel();
        m_entry.reset();
    }
}

bool EventLoop::Watch::isActive() const
{
    return m_entry && m_entry->active;
}

Result<std::unique_ptr<EventLoop>> EventLoop::create(const Clock &clock)
{
    event_config *config = event_config_new();
    // A cached time or the coarse clock, with its resolution of 4 ms, would let timers fire early.
    event_config_set_flag(config, EVENT_BASE_FLAG_NO_CACHE_TIME);
    event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
    event_config_require_features(config, EV_FEATURE_EARLY_CLOSE);
    event_base *base = event_base_new_with_config(config);
    event_config_free(config);
    if (base == nullptr) {
        return fail(ErrorCode::Io, "libevent offers no event base that reports closed connections");
    }
    return std::unique_ptr<EventLoop>(new EventLoop(clock, base));
}

EventLoop::EventLoop(const Clock &clock, event_base *base)
    : m_clock(clock)
    , m_base(base)
    , m_iterationEnd(event_new(
          base, -1, 0, [](evutil_socket_t, short, void *arg) { event_base_loopbreak(static_cast<event_base *>(arg)); }, base))
{
    TOUCANDECK_ASSERT(m_iterationEnd != nullptr, "event_new fails only without memory");
}

EventLoop::~EventLoop()
{
    // Handlers may own watches, which must be destroyed before the event base.
    m_soonHandlers.clear();
    event_free(m_iterationEnd);
    event_base_free(m_base);
}

EventLoop::Watch EventLoop::add(int descriptor, short what, const Duration *delay, Handler handler)
{
    auto entry = std::make_shared<Watch::Entry>();
    entry->loop = this;
    entry->handler = std::move(handler);
    entry->oneShot = (what & EV_PERSIST) == 0;
    entry->registration = event_new(m_base, descriptor, what, &Watch::Entry::onFired, entry.get());
    TOUCANDECK_ASSERT(entry->registration != nullptr, "event_new fails only without memory or for an invalid combination");
    timeval tv{};
    if (delay != nullptr) {
        const auto micros = std::chrono::ceil<std::chrono::microseconds>(std::max(*delay, Duration::zero())).count();
        tv.tv_sec = micros / 1'000'000;
        tv.tv_usec = micros % 1'000'000;
    }
    const int ec = event_add(entry->registration, delay != nullptr ? &tv : nullptr);
    TOUCANDECK_ASSERT(ec == 0, "the descriptor is open and can be polled");
    return Watch(std::move(entry));
}

EventLoop::Watch EventLoop::after(Duration delay, Handler handler)
{
    return add(-1, EV_TIMEOUT, &delay, std::move(handler));
}

EventLoop::Watch EventLoop::every(Duration interval, Handler handler)
{
    TOUCANDECK_ASSERT(interval > Duration::zero(), "a repeating timer needs a positive interval");
    return add(-1, EV_TIMEOUT | EV_PERSIST, &interval, std::move(handler));
}

EventLoop::Watch EventLoop::onReadable(int descriptor, Handler handler)
{
    return add(descriptor, EV_READ | EV_PERSIST, nullptr, std::move(handler));
}

EventLoop::Watch EventLoop::onPeerClosed(int descriptor, Handler handler)
{
    return add(descriptor, EV_CLOSED, nullptr, std::move(handler));
}

EventLoop::Watch EventLoop::onSignal(int signal, Handler handler)
{
    return add(signal, EV_SIGNAL | EV_PERSIST, nullptr, std::move(handler));
}

void EventLoop::runSoon(Handler handler)
{
    m_soonHandlers.push_back(std::move(handler));
    endIteration();
}

void EventLoop::endIteration()
{
    // Without this, libevent returns only when no callback is due. If many connections receive data without pause, it postpones some of
    // their callbacks in each round, so that it never returns.
    event_active(m_iterationEnd, 0, 0);
}

EventLoop::Watch EventLoop::atIterationEnd(Handler handler)
{
    auto entry = std::make_shared<Watch::Entry>();
    entry->handler = std::move(handler);
    m_endHooks.push_back(entry);
    return Watch(std::move(entry));
}

void EventLoop::iterate()
{
    const int wait = m_soonHandlers.empty() ? EVLOOP_ONCE | EVLOOP_NO_EXIT_ON_EMPTY : EVLOOP_ONCE | EVLOOP_NONBLOCK;
    event_base_loop(m_base, wait);
    std::vector<Handler> soon;
    soon.swap(m_soonHandlers);
    for (auto &it : soon) {
        it();
        it = nullptr;
    }
    // Iterates by index because a hook may add further hooks.
    for (std::size_t i = 0; i < m_endHooks.size(); ++i) {
        const auto hook = m_endHooks[i].lock();
        if (hook && hook->active) {
            hook->handler();
        }
    }
    std::erase_if(m_endHooks, [](const auto &it) { return it.expired(); });
}

void EventLoop::run()
{
    m_stopped = false;
    while (!m_stopped) {
        iterate();
    }
}

bool EventLoop::runUntil(const std::function<bool()> &done, Duration limit)
{
    bool timedOut = false;
    const auto timer = after(limit, [&timedOut] { timedOut = true; });
    while (!done()) {
        if (timedOut) {
            return false;
        }
        iterate();
    }
    return true;
}

void EventLoop::stop()
{
    m_stopped = true;
}

const Clock &EventLoop::clock() const
{
    return m_clock;
}

event_base *EventLoop::base() const
{
    return m_base;
}

} // namespace Toucandeck
