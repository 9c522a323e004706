#include "scenario.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <unistd.h>

namespace Review
{

namespace
{

constexpr unsigned kLongestRunS = 115;
constexpr Milliseconds kReadyTimeout{ 20'000 };
constexpr Milliseconds kSettlingTime{ 4000 }; ///< The instances have reported themselves and all machines have been in touch.

} // namespace

int runScenario(int argc, char **argv, const std::function<Verdict(const Scenario &)> &play)
{
    if (argc != 2) {
        std::cerr << "usage: " << argv[0] << " FOLDER\n";
        return static_cast<int>(Verdict::NotRun);
    }
    ::alarm(kLongestRunS); // The processes of the system end with this one.
    const char *trouble = std::getenv("TROUBLE");
    Recorder recorder(std::string(argv[1]) + "/record.txt");
    auto verdict = Verdict::NotRun;
    try {
        verdict = play({ recorder, trouble == nullptr || std::string(trouble) != "0" });
    } catch (const std::exception &error) {
        recorder.write(std::string("not run: ") + error.what());
    }
    static constexpr const char *kTexts[] = { "the rule held", "the rule was broken", "the case could not run" };
    recorder.write(kTexts[static_cast<int>(verdict)]);
    std::cout << kTexts[static_cast<int>(verdict)] << "\n";
    return static_cast<int>(verdict);
}

namespace
{

bool bringUpWith(Deployment &deployment, const std::vector<std::unique_ptr<Instance>> &instances, const std::function<bool()> &putManifest)
{
    deployment.start();
    for (const auto &it : instances) {
        it->start();
    }
    if (!putManifest() || !deployment.waitUntilReady(kReadyTimeout)) {
        return false;
    }
    std::this_thread::sleep_for(kSettlingTime);
    return true;
}

} // namespace

bool bringUp(Deployment &deployment, const std::vector<std::unique_ptr<Instance>> &instances, const std::vector<ServicePlan> &services)
{
    return bringUpWith(deployment, instances, [&] { return deployment.putManifest(services); });
}

bool bringUp(Deployment &deployment, const std::vector<std::unique_ptr<Instance>> &instances, const std::string &manifest)
{
    return bringUpWith(deployment, instances, [&] { return deployment.putDocument(manifest); });
}

std::string outcomeText(const std::optional<Message> &answer)
{
    return answer ? std::to_string(answer->status()) : std::string("no answer");
}

} // namespace Review
