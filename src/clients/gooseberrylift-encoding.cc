#include "gooseberrylift/internal/gooseberrylift-encoding.h"

#include <array>
#include <memory>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <zstd.h>

namespace gooseberrylift {

namespace {

// A frame that declares a larger text is rejected before memory is allocated
// for it.
constexpr std::size_t kMaxTextBytes = 256 * 1024 * 1024;
constexpr int kCompressionLevel = 3; // zstd's default

constexpr std::size_t kDigestBytes = 16;

const unsigned char* ToUnsignedBytes(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1,
                   '\0'); // including the terminating zero
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    ToUnsignedBytes(aBytes),
                    static_cast<int>(aBytes.size()));
  text.resize(static_cast<std::size_t>(size));
  return text;
}

std::optional<std::string> DecodeBase64(std::string_view aText)
{
  if (aText.size() % 4 != 0) {
    return std::nullopt;
  }
  std::string bytes(aText.size() / 4 * 3, '\0');
  const int size =
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                    ToUnsignedBytes(aText),
                    static_cast<int>(aText.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // OpenSSL counts the padding as decoded bytes.
  std::size_t padding = 0;
  while (padding < 2 && padding < aText.size() &&
         aText[aText.size() - 1 - padding] == '=') {
    ++padding;
  }
  bytes.resize(static_cast<std::size_t>(size) - padding);
  return bytes;
}

std::string ComputeDigest(std::initializer_list<std::string_view> aParts)
{
  const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(
    EVP_MD_CTX_new(), &EVP_MD_CTX_free);
  EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
  for (const std::string_view part : aParts) {
    const std::string size = std::to_string(part.size()) + ":";
    EVP_DigestUpdate(context.get(), size.data(), size.size());
    EVP_DigestUpdate(context.get(), part.data(), part.size());
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int size = 0;
  EVP_DigestFinal_ex(context.get(), digest.data(), &size);
  return std::string(reinterpret_cast<const char*>(digest.data()),
                     kDigestBytes);
}

std::string ComputeMac(std::string_view aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       ToUnsignedBytes(aBytes),
       aBytes.size(),
       digest.data(),
       &size);
  return { reinterpret_cast<const char*>(digest.data()), kMacBytes };
}

bool VerifyMac(std::string_view aKey,
               std::string_view aBytes,
               std::string_view aMac)
{
  const std::string mac = ComputeMac(aKey, aBytes);
  return aMac.size() == mac.size() &&
         CRYPTO_memcmp(aMac.data(), mac.data(), mac.size()) == 0;
}

std::string MakeNonce()
{
  std::string bytes(kDigestBytes, '\0');
  RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()),
             static_cast<int>(bytes.size()));
  return EncodeBase64(bytes);
}

std::string CompressToBase64(const std::string& aText)
{
  std::string packed(ZSTD_compressBound(aText.size()), '\0');
  const std::size_t size = ZSTD_compress(packed.data(),
                                         packed.size(),
                                         aText.data(),
                                         aText.size(),
                                         kCompressionLevel);
  packed.resize(ZSTD_isError(size) != 0U ? 0 : size);
  return EncodeBase64(packed);
}

std::optional<std::string> DecompressFromBase64(const std::string& aText)
{
  const auto packed = DecodeBase64(aText);
  if (!packed) {
    return std::nullopt;
  }
  const unsigned long long size =
    ZSTD_getFrameContentSize(packed->data(), packed->size());
  if (size > kMaxTextBytes) {
    // This includes zstd's values for an unknown size and for an error.
    return std::nullopt;
  }
  std::string text(size, '\0');
  const std::size_t decompressed =
    ZSTD_decompress(text.data(), text.size(), packed->data(), packed->size());
  if (ZSTD_isError(decompressed) != 0U || decompressed != text.size()) {
    return std::nullopt;
  }
  return text;
}

} // namespace gooseberrylift
