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

// A text that claims to be larger is refused before room is made for it.
constexpr std::size_t kMaxTextBytes = 256 * 1024 * 1024;
constexpr int kCompression = 3; // the library's own default

constexpr std::size_t kDigestBytes = 16;

const unsigned char* BytesOf(std::string_view aText)
{
  return reinterpret_cast<const unsigned char*>(aText.data());
}

} // namespace

std::string EncodeBase64(std::string_view aBytes)
{
  std::string text((aBytes.size() + 2) / 3 * 4 + 1, '\0'); // and a final zero
  const int size =
    EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                    BytesOf(aBytes),
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
                    BytesOf(aText),
                    static_cast<int>(aText.size()));
  if (size < 0) {
    return std::nullopt;
  }
  // The library counts the padding as bytes.
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

std::string MacOf(std::string_view aKey, std::string_view aBytes)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       BytesOf(aBytes),
       aBytes.size(),
       digest.data(),
       &size);
  return { reinterpret_cast<const char*>(digest.data()), kMacBytes };
}

bool IsMacOf(std::string_view aKey,
             std::string_view aBytes,
             std::string_view aMac)
{
  const std::string mac = MacOf(aKey, aBytes);
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
  const std::size_t size = ZSTD_compress(
    packed.data(), packed.size(), aText.data(), aText.size(), kCompression);
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
    return std::nullopt; // also the library's marks for "unknown" and "error"
  }
  std::string text(size, '\0');
  const std::size_t got =
    ZSTD_decompress(text.data(), text.size(), packed->data(), packed->size());
  if (ZSTD_isError(got) != 0U || got != text.size()) {
    return std::nullopt;
  }
  return text;
}

} // namespace gooseberrylift
