#include "kernel_answers.h"

#include <atomic>
#include <cerrno>
#include <cstdarg>
#include <cstring>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace comfreypier::standins {

namespace {

    std::atomic<KernelAnswers> currentAnswers { KernelAnswers::All };

} // namespace

void setKernelAnswers(KernelAnswers answers)
{
    currentAnswers = answers;
}

} // namespace comfreypier::standins

using comfreypier::standins::currentAnswers;
using comfreypier::standins::KernelAnswers;

extern "C" int getsockopt(int socket, int level, int option, void* value, socklen_t* size) noexcept
{
    bool tcpInfo = level == IPPROTO_TCP && option == TCP_INFO;
    if (tcpInfo && currentAnswers == KernelAnswers::Nothing) {
        errno = ENOPROTOOPT;
        return -1;
    }
    auto result = static_cast<int>(::syscall(SYS_getsockopt, socket, level, option, value, size));
    constexpr size_t stateBytes = sizeof(tcp_info::tcpi_state);
    if (result == 0 && tcpInfo && currentAnswers == KernelAnswers::StateOnly && *size > stateBytes)
        std::memset(static_cast<char*>(value) + stateBytes, 0, *size - stateBytes);
    return result;
}

extern "C" int ioctl(int descriptor, unsigned long request, ...) noexcept
{
    va_list arguments;
    va_start(arguments, request);
    auto* argument = va_arg(arguments, void*);
    va_end(arguments);
    if (request == SIOCOUTQ && currentAnswers == KernelAnswers::Nothing) {
        errno = ENOTTY;
        return -1;
    }
    return static_cast<int>(::syscall(SYS_ioctl, descriptor, request, argument));
}
