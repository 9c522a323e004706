#include "runtime/supervisor.h"

#include "runtime/events.h"

#include <algorithm>
#include <utility>

namespace Toucandeck
{

struct Supervisor::Child
{
    std::unique_ptr<Component> component;
    bool running = false;
    Duration backoff{};
    std::deque<TimePoint> failures;
    EventLoop::Watch restart;
    /// Identifies reports of an earlier incarnation of the component, which are ignored.
    std::uint64_t incarnation = 0;
};

Supervisor::Supervisor(std::string name, EventLoop &loop, RestartPolicy policy, Logger &logger)
    : m_name(std::move(name))
    , m_loop(loop)
    , m_policy(policy)
    , m_logger(logger)
{
}

Supervisor::~Supervisor()
{
    *m_alive = false;
}

void Supervisor::add(std::unique_ptr<Component> component)
{
    auto child = std::make_unique<Child>();
    child->component = std::move(component);
    m_children.push_back(std::move(child));
}

std::string Supervisor::name() const
{
    return m_name;
}

Result<void> Supervisor::start(FailureHandler onFailure)
{
    m_onFailure = std::move(onFailure);
    m_running = true;
    for (const auto &it : m_children) {
        it->failures.clear();
        it->backoff = m_policy.firstBackoff;
        startChild(*it);
    }
    return {};
}

void Supervisor::startChild(Child &child)
{
    const auto incarnation = ++child.incarnation;
    const auto report = [this, alive = m_alive, &child, incarnation](const std::string &reason) {
        // Deferred, because the report may come from within the component that is about to be stopped.
        m_loop.runSoon([this, alive, &child, incarnation, reason] {
            if (*alive && m_running && child.incarnation == incarnation) {
                onChildFailed(child, reason);
            }
        });
    };
    child.running = true;
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(child.component->start(report));
            m_logger.write(Events::kComponentStarted, { field("component", child.component->name()) });
            return {};
        },
        [&](const Error &error) { report(error.message); });
}

void Supervisor::onChildFailed(Child &child, const std::string &reason)
{
    const auto now = m_loop.clock().now();
    m_logger.write(Events::kComponentFailed, { field("component", child.component->name()), field("reason", reason) });
    child.running = false;
    ++child.incarnation;
    child.component->abort();
    while (!child.failures.empty() && now - child.failures.front() > m_policy.window) {
        child.failures.pop_front();
    }
    if (child.failures.empty()) {
        child.backoff = m_policy.firstBackoff;
    }
    child.failures.push_back(now);
    if (static_cast<int>(child.failures.size()) > m_policy.maxFailures) {
        m_logger.write(Events::kSupervisorGaveUp, { field("supervisor", m_name), field("component", child.component->name()) });
        if (m_onFailure) {
            m_onFailure(child.component->name() + ": " + reason);
        }
        return;
    }
    child.restart = m_loop.after(child.backoff, [this, &child] {
        ++m_restarts;
        startChild(child);
    });
    child.backoff = std::min(child.backoff * 2, m_policy.maxBackoff);
}

void Supervisor::stop(std::function<void()> done)
{
    m_running = false;
    for (const auto &it : m_children) {
        it->restart.cancel();
    }
    stopNext(m_children.size(), std::move(done));
}

void Supervisor::stopNext(std::size_t remaining, std::function<void()> done)
{
    if (remaining == 0) {
        done();
        return;
    }
    auto &child = *m_children[remaining - 1];
    ++child.incarnation;
    auto next = [this, alive = m_alive, remaining, done = std::move(done)] {
        if (*alive) {
            m_logger.write(Events::kComponentStopped, { field("component", m_children[remaining - 1]->component->name()) });
            stopNext(remaining - 1, done);
        }
    };
    if (std::exchange(child.running, false)) {
        child.component->stop(std::move(next));
    } else {
        next();
    }
}

void Supervisor::abort()
{
    m_running = false;
    for (auto it = m_children.rbegin(); it != m_children.rend(); ++it) {
        (*it)->restart.cancel();
        ++(*it)->incarnation;
        if (std::exchange((*it)->running, false)) {
            (*it)->component->abort();
        }
    }
}

int Supervisor::restarts() const
{
    return m_restarts;
}

bool Supervisor::allRunning() const
{
    return m_running && std::all_of(m_children.begin(), m_children.end(), [](const auto &it) { return it->running; });
}

} // namespace Toucandeck
