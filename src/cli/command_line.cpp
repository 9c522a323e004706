#include "cli/command_line.h"

#include "cli/exit_code.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <sstream>

namespace Toucandeck
{

namespace
{

/// CLI11 2.3 reads "-1" into an unsigned number without an error.
std::string digitsProblem(const std::string &text)
{
    const bool valid = !text.empty() && text.find_first_not_of("0123456789") == std::string::npos;
    return valid ? std::string() : "must be a whole number of 0 or more, not \"" + text + '"';
}

constexpr double defaultTimeoutSeconds = 10; // every router applies a change within 6 s

/// Declares the commands and collects the parsed options.
class Grammar
{
public:
    Grammar()
        : m_app("Operators' command-line tool of toucandeck", "toucandeck")
    {
        m_app.footer(exitCodeHelp());
        m_app.set_version_flag("--version", "toucandeck " TOUCANDECK_VERSION);
        m_app.require_subcommand(1);
        m_app.fallthrough();
        m_app.add_option("--controllers", m_line.controllers, "HTTP addresses IP:PORT of the controllers, separated by commas")
            ->delimiter(',')
            ->allow_extra_args(false)
            ->envname("TOUCANDECK_CONTROLLERS")
            ->required();
        m_app.add_option("--token-file", m_line.tokenFile, "File with the operators' token")->envname("TOUCANDECK_TOKEN_FILE");
        m_app.add_option("--timeout", m_timeout, "Time limit in seconds")->capture_default_str()->check(CLI::Range(0.1, 3600.0));
        addTable();
        addStatus();
        addControllers();
        addLeave();
    }

    std::variant<CommandLine, CommandLineEnd> parse(std::vector<std::string> arguments)
    {
        // CLI11 expects the arguments in reverse order.
        std::reverse(arguments.begin(), arguments.end());
        try {
            m_app.parse(arguments);
        } catch (const CLI::ParseError &error) {
            std::ostringstream text;
            const bool isHelp = m_app.exit(error, text, text) == 0;
            return CommandLineEnd{ isHelp ? 0 : static_cast<int>(ExitCode::Usage), text.str() };
        }
        if (m_table->parsed() && m_table->get_subcommands().empty() && !m_line.wait) {
            return CommandLineEnd{ static_cast<int>(ExitCode::Usage), "table needs one of show, export, import, set or --wait\n" };
        }
        m_line.timeout = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(m_timeout));
        return m_line;
    }

private:
    CLI::App *addCommand(CLI::App *parent, const std::string &name, const std::string &help, CliAction action)
    {
        auto *it = parent->add_subcommand(name, help);
        it->callback([this, action] { m_line.action = action; });
        return it;
    }

    CLI::App *addQueryCommand(CLI::App *parent, const std::string &name, const std::string &help, CliAction action)
    {
        auto *it = addCommand(parent, name, help, action);
        it->add_flag("--json", m_line.json, "Print JSON");
        return it;
    }

    void addEditOptions(CLI::App *it)
    {
        it->add_flag("--force", m_line.force, "Accept the change even if the rest cannot carry the load");
        it->add_flag("--wait", m_line.wait, "Return when each router that holds a lease has applied the change");
        it->add_option("--request-id", m_line.requestId, "Id of the edit, to resend one whose answer was lost");
    }

    void addTable()
    {
        m_table = m_app.add_subcommand("table", "Show and change the table");
        m_table->require_subcommand(0, 1);
        m_table->add_flag("--wait", m_line.wait, "Return when each router that holds a lease has applied the present table");
        m_table->preparse_callback([this](std::size_t) { m_line.action = CliAction::TableWait; });
        addQueryCommand(m_table, "show", "Print all rows", CliAction::TableShow);
        addCommand(m_table, "export", "Print all rows as a file for import", CliAction::TableExport)
            ->add_flag("--csv", m_csv, "As CSV (the only format)")
            ->required();
        auto *import = addCommand(m_table, "import", "Change the table to the rows of a file", CliAction::TableImport);
        import->add_option("FILE", m_line.file, "CSV file, as written by export")->required();
        addEditOptions(import);
        auto *set = addCommand(m_table, "set", "Change one row", CliAction::TableSet);
        set->add_option("ROW", m_line.row, "SERVICE/DOMAIN/INSTANCE, with * for a default")->required();
        set->add_option("COLUMN=VALUE", m_line.assignments, "Columns to change; COLUMN= clears one")->required();
        set->add_option("--revision", m_line.revision, "Revision of the row as last seen; 0 for a new row")
            ->required()
            ->check(digitsProblem);
        addEditOptions(set);
    }

    void addStatus()
    {
        addQueryCommand(&m_app, "status", "Print controllers and routers", CliAction::Status);
        addQueryCommand(&m_app, "owners", "Print who owns the partitions and hot keys", CliAction::Owners)
            ->add_option("--service", m_line.service, "Only this service");
        addQueryCommand(&m_app, "events", "Print the last events of the controller", CliAction::Events);
    }

    void addControllers()
    {
        auto *controllers = m_app.add_subcommand("controllers", "Show and change the membership of the controllers");
        controllers->require_subcommand(1);
        addQueryCommand(controllers, "show", "Print the members", CliAction::ControllersShow);
        addCommand(controllers,
                   "bootstrap",
                   "Give the new controllers named by --controllers their first membership; once per deployment",
                   CliAction::ControllersBootstrap);
        auto *add = addCommand(controllers, "add", "Add a controller; it votes once it has caught up", CliAction::ControllersAdd);
        add->add_option("REPLICA", m_line.replica, "Hexadecimal id, as the controller logs it")->required();
        add->add_option("--failure-domain", m_line.failureDomain, "Its failure domain")->required();
        add->add_option("--address", m_line.address, "Its message address")->required();
        add->add_option("--http-address", m_line.httpAddress, "Its HTTP address, IP:PORT")->required();
        addCommand(controllers, "remove", "Remove a controller", CliAction::ControllersRemove)
            ->add_option("REPLICA", m_line.replica, "Hexadecimal id")
            ->required();
    }

    void addLeave()
    {
        auto *leave = m_app.add_subcommand("leave", "Plan and watch the leaving of instances and failure domains");
        leave->require_subcommand(1);
        auto *plan = addQueryCommand(leave, "plan", "Tell whether the rest can carry the load after a change", CliAction::LeavePlan);
        plan->add_option("ROW", m_line.row, "Row to change, for example */jm-a/*")->required();
        plan->add_option("COLUMN=VALUE", m_line.assignments, "The change; without one: state=leaving");
        addQueryCommand(leave, "status", "Tell what is safe to switch off", CliAction::LeaveStatus);
    }

    CLI::App m_app;
    CLI::App *m_table = nullptr;
    CommandLine m_line;
    double m_timeout = defaultTimeoutSeconds;
    bool m_csv = false;
};

} // namespace

std::variant<CommandLine, CommandLineEnd> parseCommandLine(const std::vector<std::string> &arguments)
{
    return Grammar().parse(arguments);
}

} // namespace Toucandeck
