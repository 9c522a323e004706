#pragma once

#include "common/clock.h"
#include "common/result.h"

#include <functional>
#include <list>
#include <memory>
#include <vector>

struct event;
struct event_base;

namespace Toucandeck
{

/// The process's single loop over libevent: timers, descriptors, signals. Not thread-safe.
/// Handlers may destroy any watch, including the one that called them.
class EventLoop
{
public:
    using Handler = std::function<void()>;

    /// Owner of a timer, descriptor or signal registration; unregisters when destroyed.
    class Watch
    {
    public:
        Watch() = default;
        Watch(Watch &&other) noexcept = default;
        Watch &operator=(Watch &&other) noexcept;
        ~Watch();
        void cancel();
        /// True until cancelled or, for a one-shot timer, until it has fired.
        bool isActive() const;

    private:
        friend class EventLoop;
        struct Entry;
        explicit Watch(std::shared_ptr<Entry> entry);
        std::shared_ptr<Entry> m_entry;
    };

    /// Fails with Io if libevent cannot be set up.
    static Result<std::unique_ptr<EventLoop>> create(const Clock &clock);
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    /// Calls once after @p delay; negative delays count as zero.
    [[nodiscard]] Watch after(Duration delay, Handler handler);
    /// Calls every @p interval, which must be positive. Missed calls after a pause are not made up for.
    [[nodiscard]] Watch every(Duration interval, Handler handler);
    /// Calls on each readiness of the descriptor for reading.
    [[nodiscard]] Watch onReadable(int descriptor, Handler handler);
    /// Calls once when the peer has closed the connection or its sending half, without reading from it.
    [[nodiscard]] Watch onPeerClosed(int descriptor, Handler handler);
    [[nodiscard]] Watch onSignal(int signal, Handler handler);
    /// Calls in the next iteration, in the order of registration; also from within a handler.
    void runSoon(Handler handler);
    /// Calls at the end of each iteration, after all handlers of this iteration. Used for group commit.
    [[nodiscard]] Watch atIterationEnd(Handler handler);

    /// Runs until stop(). May be called again afterwards.
    void run();
    /// Runs until @p done yields true or @p limit has passed; returns the last value of @p done. For tests and tools.
    bool runUntil(const std::function<bool()> &done, Duration limit);
    /// Makes run() return at the end of this iteration.
    void stop();

    const Clock &clock() const;
    event_base *base() const;

private:
    explicit EventLoop(const Clock &clock, event_base *base);
    Watch add(int descriptor, short what, const Duration *delay, Handler handler);
    void iterate();

    const Clock &m_clock;
    event_base *m_base = nullptr;
    bool m_stopped = false;
    std::vector<Handler> m_soon;
    std::vector<std::weak_ptr<Watch::Entry>> m_endHooks;
};

} // namespace Toucandeck
