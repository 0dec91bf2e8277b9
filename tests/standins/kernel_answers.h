/// Limits what the kernel tells the test's process of its connections, as other kernels and simulated networks do.
///
/// A program that is linked with this file calls its `getsockopt` and `ioctl` in place of those of the C library.
#pragma once

namespace comfreypier::standins {

enum class KernelAnswers {
    All,
    StateOnly, ///< TCP_INFO holds the state of a connection, and zeros.
    Nothing, ///< TCP_INFO and the number of unacknowledged bytes can't be read.
    Count
};

/// Sets what the kernel tells from now on. `All` at first.
void setKernelAnswers(KernelAnswers answers);

} // namespace comfreypier::standins
