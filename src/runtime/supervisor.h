#pragma once

#include "common/result.h"
#include "log/logger.h"
#include "runtime/event_loop.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Toucandeck
{

/// Part of a process that can be started, stopped and started again.
class Component
{
public:
    /// Reports that the component has failed; it is then aborted and restarted.
    using FailureHandler = std::function<void(std::string reason)>;

    virtual ~Component() = default;
    virtual std::string name() const = 0;
    /// Starts the component; @p onFailure may be called at any time until it is stopped. A failed start counts as a failure.
    virtual Result<void> start(FailureHandler onFailure) = 0;
    /// Stops gracefully: finishes pending work and then calls @p done, at once or later.
    virtual void stop(std::function<void()> done) = 0;
    /// Stops immediately after a failure; must leave the component ready for start().
    virtual void abort() = 0;
};

struct RestartPolicy
{
    Duration firstBackoff = std::chrono::milliseconds(50);
    Duration maxBackoff = std::chrono::seconds(5);
    int maxFailures = 10; ///< Failures tolerated within the window; one more is reported to the parent.
    Duration window = std::chrono::seconds(60);
};

/// Owns components, starts them in order, stops them in reverse order and restarts only the one that failed.
/// A supervisor is itself a component, so supervisors form a tree; too many failures are reported to its own failure handler.
class Supervisor : public Component
{
public:
    Supervisor(std::string name, EventLoop &loop, RestartPolicy policy, Logger &logger);
    ~Supervisor() override;

    /// Adds a component; must be called before start().
    void add(std::unique_ptr<Component> component);

    std::string name() const override;
    Result<void> start(FailureHandler onFailure) override;
    void stop(std::function<void()> done) override;
    void abort() override;

    /// Number of restarts since construction.
    int restarts() const;
    /// True if all components are running.
    bool allRunning() const;

private:
    struct Child;

    void startChild(Child &child);
    void onChildFailed(Child &child, const std::string &reason);
    void stopNext(std::size_t remaining, std::function<void()> done);

    std::string m_name;
    EventLoop &m_loop;
    RestartPolicy m_policy;
    Logger &m_logger;
    FailureHandler m_onFailure;
    bool m_running = false;
    int m_restarts = 0;
    std::vector<std::unique_ptr<Child>> m_children;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace Toucandeck
