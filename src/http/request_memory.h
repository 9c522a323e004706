#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace Toucandeck
{

/// Account of the memory that the clients of a process occupy: requests being received, requests in progress, and responses that have not
/// been read. Above its limit, the connections with the most memory give way first; a request in progress is never cut off.
class RequestMemory : public std::enable_shared_from_this<RequestMemory>
{
public:
    /// A connection that can give its memory back.
    class User
    {
    public:
        virtual ~User() = default;
        /// Refuses the request that is being received, or closes the connection; frees the memory. May be called at any time.
        virtual void giveWay() = 0;
    };

    /// Memory of one request in progress; returned on destruction.
    class Reservation
    {
    public:
        ~Reservation();

        Reservation(const Reservation &) = delete;
        Reservation &operator=(const Reservation &) = delete;

    private:
        friend class RequestMemory;
        Reservation(std::shared_ptr<RequestMemory> memory, std::size_t bytes, bool large);

        std::shared_ptr<RequestMemory> m_memory;
        std::size_t m_bytes;
        bool m_large;
    };

    static std::shared_ptr<RequestMemory> create(std::size_t limitBytes);

    RequestMemory(const RequestMemory &) = delete;
    RequestMemory &operator=(const RequestMemory &) = delete;

    /// Sets the memory that the user can give back; zero before its destruction. Users with more memory give way if there is no room.
    /// @return false if the user itself has to give way.
    bool set(User &user, std::size_t bytes);

    /// Reserves memory for a request in progress. Users with more memory give way if there is no room.
    /// @param bytes size of the received request, without copies.
    /// @return null if there is no room. Of the requests larger than an eighth of the limit, only one is in progress at a time.
    std::unique_ptr<Reservation> reserve(std::size_t bytes);

    std::size_t bytes() const;
    /// Number of requests refused and connections closed for lack of memory.
    std::uint64_t refusals() const;

private:
    explicit RequestMemory(std::size_t limitBytes);

    /// Lets users with more than @p bytes give way until @p bytes fit; false if they do not.
    bool makeRoom(std::size_t bytes);
    std::size_t limitFor(std::size_t bytes) const;
    User *largestAbove(std::size_t bytes) const;

    std::size_t m_limit;
    std::size_t m_bytes = 0; ///< Of users and reservations.
    bool m_hasLargeRequest = false;
    std::uint64_t m_refusals = 0;
    std::unordered_map<User *, std::size_t> m_users;
};

} // namespace Toucandeck
