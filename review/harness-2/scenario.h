#pragma once

#include "deployment.h"
#include "instance.h"

#include <functional>

namespace Review
{

/// Exit codes of a scenario.
enum class Verdict {
    Held = 0,
    Broken = 1,
    NotRun = 2,
};

struct Scenario
{
    Recorder &recorder;
    bool trouble; ///< False with TROUBLE=0: the same without the disruption.
};

/// Runs @p play with a record in the folder named by the first argument. The process ends after two minutes in any case.
int runScenario(int argc, char **argv, const std::function<Verdict(const Scenario &)> &play);

/// Starts the processes and the instances, sends the manifest and waits until requests can be served.
bool bringUp(Deployment &deployment, const std::vector<std::unique_ptr<Instance>> &instances, const std::vector<ServicePlan> &services);

/// The same with this manifest.
bool bringUp(Deployment &deployment, const std::vector<std::unique_ptr<Instance>> &instances, const std::string &manifest);

/// Text of the status, or why there is none.
std::string outcomeText(const std::optional<Message> &answer);

} // namespace Review
