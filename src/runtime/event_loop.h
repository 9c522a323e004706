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

/// Event loop of the process, built on libevent: timers, descriptors and signals. Not thread-safe.
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

    /// Calls the handler once after @p delay; a negative delay counts as zero.
    [[nodiscard]] Watch after(Duration delay, Handler handler);
    /// Calls the handler every @p interval, which must be positive. Calls missed during a pause are skipped.
    [[nodiscard]] Watch every(Duration interval, Handler handler);
    /// Calls the handler whenever the descriptor becomes readable.
    [[nodiscard]] Watch onReadable(int descriptor, Handler handler);
    /// Calls the handler once when the peer has closed the connection or its sending half. Does not read from the descriptor.
    [[nodiscard]] Watch onPeerClosed(int descriptor, Handler handler);
    [[nodiscard]] Watch onSignal(int signal, Handler handler);
    /// Calls the handler in the next iteration, in the order of registration. May be used from within a handler.
    void runSoon(Handler handler);
    /// Calls the handler at the end of each iteration, after all other handlers of the iteration. Used for group commit.
    [[nodiscard]] Watch atIterationEnd(Handler handler);

    /// Runs until stop(). May be called again afterwards.
    void run();
    /// Runs until @p done returns true or @p limit has elapsed; returns the last value of @p done. For tests and tools.
    bool runUntil(const std::function<bool()> &done, Duration limit);
    /// Makes run() return at the end of this iteration.
    void stop();

    const Clock &clock() const;
    event_base *base() const;

private:
    explicit EventLoop(const Clock &clock, event_base *base);
    Watch add(int descriptor, short what, const Duration *delay, Handler handler);
    void iterate();
    /// Ends the current iteration after the handlers that are already due.
    void endIteration();

    const Clock &m_clock;
    event_base *m_base = nullptr;
    event *m_iterationEnd = nullptr;
    bool m_stopped = false;
    std::vector<Handler> m_soonHandlers;
    std::vector<std::weak_ptr<Watch::Entry>> m_endHooks;
};

} // namespace Toucandeck
