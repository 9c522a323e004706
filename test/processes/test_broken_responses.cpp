// Guards against broken responses of a backend server that reach a client as its answer, through a real gateway beside the backend server
// and through another one. The backend server answers while the gateway still writes the upload to it.
#include "faulty_backend.h"
#include "process_fleet.h"

#include "http/message_parser.h"
#include "runtime/raw_socket.h"
#include "runtime/status_lines.h"

#include <algorithm>
#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace Toucandeck;
using Ending = ConnectionEnding;

namespace
{

constexpr std::chrono::seconds kLimit{ 20 }; ///< Ends a step that would never succeed.

/// More than the buffers of two sockets hold, so that a part stays unwritten.
constexpr std::size_t kUploadBytes = 16U << 20U;

const std::string kEntries[] = { "route", "entry_gateway" };
const std::string kHead = "HTTP/1.1 200 OK\r\nX-Toucandeck-Request-Id: {id}\r\nX-Toucandeck-Response-Seal: seal-{id}\r\n";

/// A client that sends its requests on one connection.
class KeptConnection
{
public:
    KeptConnection(EventLoop &loop, const SocketAddress &address)
        : m_loop(loop)
        , m_socket(RawSocket::connectTo(address.ip, address.port))
    {
    }

    /// Response to an upload, or to a GET if @p bytes is zero.
    internal::ParsedMessage request(const std::string &path, const std::string &id, std::size_t bytes)
    {
        m_socket.write(fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\nX-Toucandeck-Request-Id: {}\r\nX-Toucandeck-Deadline-Ms: 8000\r\n"
                                   "Content-Length: {}\r\n\r\n",
                                   bytes == 0 ? "GET" : "POST",
                                   path,
                                   id,
                                   bytes));
        m_socket.write(std::string(bytes, 'u'));
        std::optional<internal::ParsedMessage> response;
        const auto isComplete = [&] {
            response = read();
            return response || m_socket.isClosed();
        };
        EXPECT_TRUE(m_loop.runUntil(isComplete, kLimit)) << path;
        return response.value_or(internal::ParsedMessage{});
    }

private:
    std::optional<internal::ParsedMessage> read()
    {
        m_read += m_parser.feed(std::string_view(m_socket.receivedText()).substr(m_read));
        return m_parser.take();
    }

    EventLoop &m_loop;
    RawSocket m_socket;
    internal::MessageParser m_parser{ internal::MessageParser::Kind::Response };
    std::size_t m_read = 0; ///< Bytes.
};

class BrokenResponsesTest : public testing::Test
{
protected:
    static void SetUpTestSuite()
    {
        sharedFleet = std::make_unique<ProcessFleet>(testing::internal::GetArgvs().back());
        sharedBackend = std::make_unique<FaultyBackend>(sharedFleet->loop(), sharedFleet->replaceBackend());
        ASSERT_TRUE(sharedFleet->start()) << sharedFleet->logOf("route");
        ASSERT_TRUE(sharedFleet->startEntryGateway()) << sharedFleet->logOf("entry_gateway");
    }

    static void TearDownTestSuite()
    {
        sharedBackend.reset();
        sharedFleet.reset();
    }

    static std::string nextId()
    {
        static int number = 0;
        return fmt::format("request-{}", ++number);
    }

    static std::string valueOf(const internal::ParsedMessage &response, const char *name)
    {
        return std::string(findHeader(response.headers, name).value_or(""));
    }

    /// Expects that a GET on the connection is answered with its own response.
    static void expectOwnAnswer(KeptConnection &connection)
    {
        const auto id = nextId();
        const auto response = connection.request("/x/sound", id, 0);
        EXPECT_EQ(response.status, 200);
        EXPECT_EQ(response.body, "whole");
        EXPECT_EQ(valueOf(response, "X-Toucandeck-Response-Seal"), "seal-" + id);
    }

    /// An upload through a gateway and its response.
    struct Upload
    {
        std::string label; ///< For messages of failed checks.
        std::string id;
        std::string path;
        std::unique_ptr<KeptConnection> connection;
        internal::ParsedMessage response;
    };

    /// Sends an upload that the backend server answers in this way.
    static Upload upload(const std::string &entry, const FaultyBackend::Script &script)
    {
        const auto id = nextId();
        const auto path = "/u/" + id;
        sharedBackend->answer(path, script);
        auto connection = std::make_unique<KeptConnection>(sharedFleet->loop(), sharedFleet->entry(entry).address);
        auto response = connection->request(path, id, kUploadBytes);
        return { entry + ": " + script.response, id, path, std::move(connection), std::move(response) };
    }

    /// Expects that an upload that the backend server answers in this way fails without a promise, runs once, and leaves the connection of
    /// its client usable; and that the log names the cause.
    static void expectRejected(const FaultyBackend::Script &script, const std::string &cause)
    {
        for (const auto &entry : kEntries) {
            const auto it = upload(entry, script);
            EXPECT_EQ(it.response.status, 502) << it.label;
            EXPECT_EQ(valueOf(it.response, "X-Toucandeck-Response-Seal"), "") << it.label;
            EXPECT_EQ(valueOf(it.response, "X-Toucandeck-Not-Executed"), "") << it.label;
            EXPECT_EQ(it.response.body.find("part"), std::string::npos) << it.label;
            expectOwnAnswer(*it.connection);
            EXPECT_EQ(sharedBackend->requestsTo(it.path), 1U) << it.label;
            const auto lines = sharedFleet->logLines("route", '"' + it.id + '"');
            const auto namesCause = [&cause](const std::string &line) { return line.find('"' + cause + '"') != std::string::npos; };
            EXPECT_TRUE(std::any_of(lines.begin(), lines.end(), namesCause)) << it.label;
        }
    }

    /// Expects that an upload that the backend server answers in this way gets the response, with the header line if one is given.
    static void expectDelivered(const FaultyBackend::Script &script, int status = 200, const HttpHeader &line = {})
    {
        for (const auto &entry : kEntries) {
            const auto it = upload(entry, script);
            EXPECT_EQ(it.response.status, status) << it.label;
            EXPECT_EQ(it.response.body, "whole") << it.label;
            EXPECT_EQ(valueOf(it.response, "X-Toucandeck-Response-Seal"), "seal-" + it.id) << it.label;
            EXPECT_EQ(valueOf(it.response, line.name.c_str()), line.value) << it.label;
            expectOwnAnswer(*it.connection);
        }
    }

    static inline std::unique_ptr<ProcessFleet> sharedFleet;
    static inline std::unique_ptr<FaultyBackend> sharedBackend;
};

} // namespace

// A gateway delivered the part that had arrived as the whole body.
TEST_F(BrokenResponsesTest, AResponseWithoutLengthThatIsReset)
{
    expectRejected({ kHead + "\r\npart", Ending::Reset }, "truncated_body");
}

TEST_F(BrokenResponsesTest, AResponseThatIsResetBeforeItsEnd)
{
    expectRejected({ kHead + "Content-Length: 9\r\n\r\npart", Ending::Reset }, "truncated_body");
    expectRejected({ kHead + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", Ending::Reset }, "truncated_body");
    expectRejected({ kHead + "X-Toucandeck-Not-Executed: full\r\n", Ending::Reset }, "truncated_head");
}

TEST_F(BrokenResponsesTest, SoundResponsesThatComeEarly)
{
    const auto sound = FaultyBackend::soundResponse();
    for (const auto ending : { Ending::Open, Ending::EndOfStream, Ending::EndOfStreamThenReset, Ending::Reset }) {
        expectDelivered({ sound, ending });
    }
    expectDelivered({ sound, Ending::Open, true });
    expectDelivered({ kHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", Ending::Open });
    expectDelivered({ "HTTP/1.1 100 Continue\r\n\r\n" + sound, Ending::Open });
}

TEST_F(BrokenResponsesTest, AResponseWithoutLengthThatEndsInOrder)
{
    for (const auto ending : { Ending::EndOfStream, Ending::EndOfStreamThenReset }) {
        expectDelivered({ kHead + "\r\nwhole", ending });
    }
}

// A gateway delivered the response, with the line or with a body of another length.
TEST_F(BrokenResponsesTest, AHeaderNameWithABlank)
{
    for (const std::string line : { "X Y: 1\r\n", "X : 1\r\n", "Content-Length : 2\r\n", "Connection : close\r\n" }) {
        expectRejected({ kHead + line + "\r\npart", Ending::EndOfStream }, "malformed_field");
    }
    const std::string status = "HTTP/1.1 200 OK\r\n";
    expectRejected({ status + " X: 1\r\n" + kHead.substr(status.size()) + "Content-Length: 4\r\n\r\npart" }, "malformed_field");
}

TEST_F(BrokenResponsesTest, AHeaderNameWithAControlByte)
{
    for (const char byte : { '\0', '\x01', '\t', '\x0b', '\x1b', '\x7f' }) {
        const auto line = std::string("X") + byte + "Y: 1\r\n";
        expectRejected({ kHead + line + "Content-Length: 4\r\n\r\npart" }, "malformed_field");
    }
}

TEST_F(BrokenResponsesTest, UnusualHeaderNamesAreDelivered)
{
    const HttpHeader line{ "!#$%&'*+-.^_`|~09aZ", "v w" };
    expectDelivered({ FaultyBackend::soundResponse("200 OK", line.name + ": " + line.value + "\r\n") }, 200, line);
    expectDelivered({ FaultyBackend::soundResponse("200 OK", "x: a\r\n b\r\n") }, 200, { "X", "a b" });
}

TEST_F(BrokenResponsesTest, AStatusThatIsNone)
{
    for (const std::string status : { "000 None", "000", "099 Low", "600 High", "0200 OK" }) {
        expectRejected({ "HTTP/1.1 " + status + kHead.substr(kHead.find("\r\n")) + "Content-Length: 4\r\n\r\npart" }, "malformed");
    }
}

// The client of a request that had run was told that it had not, and sent it again.
TEST_F(BrokenResponsesTest, AStatusThatPromisesNotRunWithoutTheStatement)
{
    for (const std::string status : { "408", "421", "429", "503" }) {
        const auto head = "HTTP/1.1 " + status + " No" + kHead.substr(kHead.find("\r\n"));
        expectRejected({ head + "Content-Length: 4\r\n\r\npart", Ending::Open }, "unconfirmed_refusal");
    }
}

TEST_F(BrokenResponsesTest, ARequestThatMayBeRepeatedGetsTheStatusOfItsBackendServer)
{
    for (const int status : { 408, 421, 429, 500, 503 }) {
        for (const auto &entry : kEntries) {
            const auto id = nextId();
            sharedBackend->answer("/x/" + id, { FaultyBackend::soundResponse(std::to_string(status) + " No"), Ending::Open, true });
            KeptConnection connection(sharedFleet->loop(), sharedFleet->entry(entry).address);
            const auto response = connection.request("/x/" + id, id, 0);
            EXPECT_EQ(response.status, status) << entry;
            EXPECT_EQ(response.body, "whole") << entry;
            EXPECT_EQ(valueOf(response, "X-Toucandeck-Response-Seal"), "seal-" + id) << entry;
        }
    }
}

TEST_F(BrokenResponsesTest, UnusualStatusesAreDelivered)
{
    for (const int status : unusualStatuses()) {
        expectDelivered({ FaultyBackend::soundResponse(std::to_string(status)) }, status);
    }
}
